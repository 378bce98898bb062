-- One task of one cell, on a platform whose store has conditional writes and whose executors keep fencing tokens; a model
-- for the checker rumur. The entry that takes the cell's row owns the cell under the next term, which is the token. An
-- owner stores the intent to start a run before it orders the start, and stores the end of the run before the executor may
-- forget it; the next owner reads both.
--
-- Faults: any step happens late or never, so that owners freeze, resume with stale state, or are dead; the row is taken at
-- any point; writes take effect late; orders are carried out late, without a reply; leases lapse; executors restart and
-- lose their state. Assumed: an order for one incarnation of an executor has no effect in the next, and a former owner has
-- learnt that it was superseded before its successor has waited for the leases to expire and before an executor restarts
-- (docs/PROOFS.md says what that leaves open).
--
-- spec/check sets each RULE_ constant to 0 in turn, which disables that rule.

const
  TERMS: 3;
  EXECUTORS: 2;
  RUNS: 2;
  REBIRTHS: 1;

  RULE_FENCE: 1;             -- an executor rejects orders with a token lower than the highest it has seen
  RULE_GUARD: 1;             -- an owner's writes are conditional on its still owning the row
  RULE_INTENT_FIRST: 1;      -- a start is ordered only once its intent is stored
  RULE_STORE_BEFORE_ACK: 1;  -- an end is acknowledged only once it is stored
  RULE_HEAR_INHERITED: 1;    -- a run that a former owner may have started is concluded only when its executor has reported
  RULE_WAIT_LEASE: 1;        -- or when every lease that it may hold has expired
  RULE_FORMER_LEASE: 1;      -- also one that a former owner granted, on an executor that has reported to this owner
  RULE_DEADLINE: 1;          -- a start that arrives after the end of the lease that it grants is refused
  RULE_STOP_UNANSWERED: 1;   -- a start without a reply is stopped before a report that doesn't list its run counts
  RULE_STOP_IS_FINAL: 1;     -- an executor refuses a run that was stopped or has ended there

type
  Term: 1..TERMS;
  Executor: 1..EXECUTORS;
  AnyExecutor: 0..EXECUTORS; -- 0: none
  Run: 1..RUNS;
  AnyRun: 0..RUNS;           -- 0: none
  State: enum { AWAY, IDLE, INTENDING, SENT, INHERITED, ENDED, FINISHED };

var
  -- The store.
  row: 0..TERMS;
  storedRun: AnyRun;
  storedAt: AnyExecutor;
  storedEnd: boolean;

  -- The owner of each term.
  state: array[Term] of State;
  run: array[Term] of AnyRun;        -- the highest run that the owner has read or started
  at: array[Term] of AnyExecutor;    -- the executor on which that run may be active
  answered: array[Term] of boolean;  -- its start got a reply, or the run was listed in a report
  stopped: array[Term] of boolean;
  stored: array[Term] of boolean;    -- its write took effect, but it has no reply yet
  heard: array[Term] of array[Executor] of boolean;
  granted: array[Term] of array[Executor] of boolean; -- the owner has granted a lease there itself; kept for the mutant only

  -- The executors.
  fence: array[Executor] of 0..TERMS;
  active: array[Executor] of AnyRun;
  ended: array[Executor] of AnyRun;  -- completed; listed in reports until acknowledged
  endLapsed: array[Executor] of boolean; -- the lease has expired since the run ended: the platform does not record that end
  over: array[Executor] of AnyRun;   -- the highest run that was stopped or has ended on this executor
  lapsed: array[Executor] of boolean; -- every lease that was granted has expired
  orders: array[Executor] of array[Run] of 0..TERMS; -- starts in flight, by the term that ordered them
  expired: array[Executor] of array[Run] of boolean;

  rebirths: 0..REBIRTHS;
  acknowledged: boolean;

function Admits(e: Executor; t: Term): boolean;
begin
  return RULE_FENCE = 0 | fence[e] <= t;
end;

procedure Present(e: Executor; t: Term);
begin
  if fence[e] < t then fence[e] := t; end;
end;

procedure NothingOut(t: Term);
begin
  state[t] := IDLE;
  at[t] := 0;
  answered[t] := false;
  stopped[t] := false;
end;

procedure SendStart(t: Term);
begin
  if RULE_FORMER_LEASE = 0 then granted[t][at[t]] := true; end;
  orders[at[t]][run[t]] := t;
  expired[at[t]][run[t]] := false;
  lapsed[at[t]] := false;
end;

procedure RunOver(e: Executor; r: AnyRun);
begin
  if over[e] < r then over[e] := r; end;
  if active[e] = r then active[e] := 0; end;
end;

startstate "the cell has no owner"
begin
  row := 0;
  storedRun := 0;
  storedAt := 0;
  storedEnd := false;
  rebirths := REBIRTHS;
  acknowledged := false;
  for t: Term do
    state[t] := AWAY;
    run[t] := 0;
    at[t] := 0;
    answered[t] := false;
    stopped[t] := false;
    stored[t] := false;
    for e: Executor do
      heard[t][e] := false;
      granted[t][e] := false;
    end;
  end;
  for e: Executor do
    fence[e] := 0;
    active[e] := 0;
    ended[e] := 0;
    endLapsed[e] := false;
    over[e] := 0;
    lapsed[e] := true;
    for r: Run do
      orders[e][r] := 0;
      expired[e][r] := false;
    end;
  end;
end;

-- Owners.

rule "an entry takes the row and reads the records"
  row < TERMS
==>
begin
  row := row + 1;
  run[row] := storedRun;
  at[row] := storedAt;
  state[row] := storedEnd ? FINISHED : (storedAt != 0 ? INHERITED : IDLE);
end;

ruleset t: Term; e: Executor do rule "an owner intends a start"
  state[t] = IDLE & heard[t][e] & run[t] < RUNS
==>
begin
  run[t] := run[t] + 1;
  at[t] := e;
  state[t] := INTENDING;
  if RULE_INTENT_FIRST = 0 then SendStart(t); end;
end end;

ruleset t: Term do rule "an intent is stored"
  state[t] = INTENDING & !stored[t] & (row = t | RULE_GUARD = 0)
==>
begin
  storedRun := run[t];
  storedAt := at[t];
  stored[t] := true;
end end;

ruleset t: Term do rule "the owner learns that the intent is stored and orders the start"
  state[t] = INTENDING & stored[t]
==>
begin
  stored[t] := false;
  state[t] := SENT;
  if RULE_INTENT_FIRST = 1 then SendStart(t); end;
end end;

ruleset t: Term do rule "the owner stops a start that has no reply"
  state[t] = SENT & !answered[t] & !stopped[t] & Admits(at[t], t)
==>
begin
  Present(at[t], t);
  RunOver(at[t], run[t]);
  stopped[t] := true;
end end;

-- The executor reports its runs under the owner's token. From then on it rejects orders with older tokens.
ruleset t: Term; e: Executor do rule "an owner hears an executor"
  state[t] != AWAY & state[t] != FINISHED & Admits(e, t)
==>
begin
  Present(e, t);
  -- The first report carries no lease yet.
  if heard[t][e] then
    if RULE_FORMER_LEASE = 0 then granted[t][e] := true; end;
    lapsed[e] := false;
  end;
  heard[t][e] := true;
  if ended[e] != 0 & state[t] != INTENDING then
    state[t] := ENDED;
  elsif at[t] = e & (state[t] = SENT | state[t] = INHERITED) then
    if active[e] = run[t] then
      answered[t] := true;
    elsif state[t] = INHERITED | answered[t] | stopped[t] | RULE_STOP_UNANSWERED = 0 then
      NothingOut(t);
    end;
  elsif active[e] != 0 & at[t] != e then
    RunOver(e, active[e]);
  end;
end end;

ruleset t: Term do rule "the owner gives a run up"
  (state[t] = SENT | state[t] = INHERITED) & (lapsed[at[t]] | RULE_WAIT_LEASE = 0) |
  state[t] = INHERITED & RULE_HEAR_INHERITED = 0 |
  state[t] = INHERITED & RULE_FORMER_LEASE = 0 & heard[t][at[t]] & !granted[t][at[t]]
==>
begin
  NothingOut(t);
  for u: Term do
    if u < t then state[u] := AWAY; end;
  end;
end end;

ruleset t: Term do rule "the end is stored"
  state[t] = ENDED & !stored[t] & (row = t | RULE_GUARD = 0)
==>
begin
  storedEnd := true;
  stored[t] := true;
end end;

ruleset t: Term do rule "the owner learns that the end is stored"
  state[t] = ENDED & stored[t]
==>
begin
  stored[t] := false;
  state[t] := FINISHED;
end end;

ruleset t: Term; e: Executor do rule "an owner acknowledges the end"
  (state[t] = FINISHED | state[t] = ENDED & RULE_STORE_BEFORE_ACK = 0) & ended[e] != 0 & Admits(e, t)
==>
begin
  Present(e, t);
  ended[e] := 0;
  if !endLapsed[e] then acknowledged := true; end;
  endLapsed[e] := false;
end end;

-- Executors.

ruleset e: Executor; r: Run; isAnswered: boolean do rule "a start is carried out, now or late"
  orders[e][r] != 0
==>
begin
  alias t: orders[e][r] do
    if heard[t][e] & Admits(e, t) & (RULE_DEADLINE = 0 | !expired[e][r]) & (over[e] < r | RULE_STOP_IS_FINAL = 0) then
      Present(e, t);
      assert "one run at a time" forall other: Executor do other = e | active[other] = 0 end;
      assert "no start after an acknowledged end" !acknowledged;
      active[e] := r;
      lapsed[e] := false;
      if isAnswered & state[t] = SENT & run[t] = r & at[t] = e then answered[t] := true; end;
    end;
  end;
  orders[e][r] := 0;
  expired[e][r] := false;
end end;

ruleset e: Executor do rule "a run ends done"
  active[e] != 0
==>
begin
  ended[e] := active[e];
  endLapsed[e] := false;
  RunOver(e, active[e]);
end end;

ruleset e: Executor do rule "every lease of an executor ends"
  !lapsed[e]
==>
begin
  lapsed[e] := true;
  endLapsed[e] := ended[e] != 0;
  RunOver(e, active[e]);
  for r: Run do
    if orders[e][r] != 0 then expired[e][r] := true; end;
  end;
end end;

ruleset e: Executor do rule "an executor starts anew"
  rebirths > 0
==>
begin
  rebirths := rebirths - 1;
  fence[e] := 0;
  active[e] := 0;
  ended[e] := 0;
  endLapsed[e] := false;
  over[e] := 0;
  lapsed[e] := true;
  for r: Run do
    orders[e][r] := 0;
    expired[e][r] := false;
  end;
  for t: Term do
    heard[t][e] := false;
    granted[t][e] := false;
    if t < row then state[t] := AWAY; end;
  end;
end end;
