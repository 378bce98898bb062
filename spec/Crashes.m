-- One task under which workers crash, as the owners of its cell count the crashes; a model for the checker rumur. The
-- record holds the count and the last run that was intended, with the incarnation of its worker. The write that stores
-- the intent of a run stores the count; until then the record shows a run on an incarnation that has ended. That a cell
-- has one owner whose writes take effect is in Cells.m.
--
-- Faults: any step happens late or never; the owner is replaced at any point, also between a crash and its discovery; a
-- worker restarts for reasons of its own; a start arrives after its worker has restarted, and then does nothing.
--
-- spec/check sets each RULE_ constant to 0 in turn, which disables that rule.

const
  WORKERS: 2;
  TERMS: 5;
  LIVES: 5;
  LIMIT: 3;
  RUNS: 6;

  RULE_STORED: 1;    -- the intent of a run stores how many crashes are known
  RULE_INHERITED: 1; -- a run that a former owner intended counts if its worker has restarted since
  RULE_TOGETHER: 1;  -- the count is stored only together with the next intent, which replaces the run that crashed

type
  Worker: 1..WORKERS;
  Life: 0..LIVES;
  State: enum { WAITING, INTENDED, ORDERED, INHERITED, GIVEN_UP };

var
  -- The record.
  isActive: boolean;
  recordedWorker: Worker;
  recordedLife: Life;
  recordedCrashes: 0..RUNS;

  -- The owner.
  term: 1..TERMS;
  state: State;
  crashes: 0..RUNS;       -- as far as it knows
  hasBegun: boolean;      -- the worker has confirmed the start

  -- The workers, and what has really happened.
  life: array[Worker] of Life;
  runs: array[Worker] of boolean;
  intended: 0..RUNS;
  crashed: 0..RUNS;

startstate "the task waits"
begin
  isActive := false;
  recordedWorker := 1;
  recordedLife := 0;
  recordedCrashes := 0;
  term := 1;
  state := WAITING;
  crashes := 0;
  hasBegun := false;
  intended := 0;
  crashed := 0;
  for w: Worker do
    life[w] := 0;
    runs[w] := false;
  end;
end;

rule "another entry becomes the owner"
  term < TERMS & state != GIVEN_UP
==>
begin
  term := term + 1;
  crashes := recordedCrashes;
  hasBegun := false;
  state := isActive ? INHERITED : WAITING;
end;

ruleset w: Worker do rule "the owner stores the intent of a run"
  state = WAITING & crashes < LIMIT & intended < RUNS
==>
begin
  isActive := true;
  recordedWorker := w;
  recordedLife := life[w];
  if RULE_STORED = 1 then
    recordedCrashes := crashes;
  end;
  intended := intended + 1;
  hasBegun := false;
  state := INTENDED;
end end;

rule "the start is carried out"
  state = INTENDED
==>
begin
  state := ORDERED;
  if life[recordedWorker] = recordedLife then
    assert "no start after the limit of crashes" crashed < LIMIT;
    runs[recordedWorker] := true;
    hasBegun := true;
  end;
end;

ruleset w: Worker do rule "the task crashes its worker"
  runs[w] & life[w] < LIVES
==>
begin
  runs[w] := false;
  life[w] := life[w] + 1;
  crashed := crashed + 1;
end end;

ruleset w: Worker do rule "a worker restarts without the task"
  !runs[w] & life[w] < LIVES
==>
begin
  life[w] := life[w] + 1;
end end;

rule "the owner hears the worker's next incarnation"
  (state = ORDERED | state = INHERITED) & life[recordedWorker] != recordedLife
==>
begin
  if state = ORDERED ? hasBegun : RULE_INHERITED = 1 then
    crashes := crashes + 1;
    assert "a run counts once" crashes <= intended;
    if RULE_TOGETHER = 0 then
      recordedCrashes := crashes;
    end;
  end;
  state := WAITING;
end;

rule "the owner learns that the worker runs nothing"
  state = INHERITED & life[recordedWorker] = recordedLife & !runs[recordedWorker]
==>
begin
  state := WAITING;
end;

rule "the job is given up"
  state = WAITING & crashes >= LIMIT
==>
begin
  state := GIVEN_UP;
end;

invariant "no more workers crash than the limit"
  crashed <= LIMIT;

cover "the job is given up after changes of the owner"
  state = GIVEN_UP & term = TERMS;
