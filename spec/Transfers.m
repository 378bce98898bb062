-- One job that is transferred between its home cell and another one, on a store with conditional writes; a model for the
-- checker rumur. A transfer is one transaction: it takes the job's record from one cell and puts it into the other, leaves a
-- mark in the home cell and a notice for the other cell's owner. How an owner and its successors keep a task to one run
-- within a cell is in Cells.m; here a start by an owner whose row was taken has no effect.
--
-- An owner's other writes are conditional on its row only: it is the record's only writer, and repeats them until they are
-- stored.
--
-- Faults: any step happens late or never; a row is taken at any point, so that owners act on what they knew; a transfer
-- takes effect late, after its owner has repeated it, given it up or lost its row; so does a repetition of the write that
-- first created the record.
--
-- spec/check sets each RULE_ constant to 0 in turn, which disables that rule.

const
  TERMS: 2;
  REVISIONS: 7;

  RULE_REVISION: 1;  -- a transfer is conditional on the revision of the record that its owner knows
  RULE_MARK: 1;      -- a mark takes the place of the record in the home cell
  RULE_NOTICE: 1;    -- a transfer leaves a notice for the other cell's owner
  RULE_KNOWN: 1;     -- an owner lets the job go only once it is known that the transfer took effect
  RULE_SETTLED: 1;   -- and keeps it only when no attempt can take effect any more

type
  Cell: 1..2;        -- 1 is the job's home
  Term: 1..TERMS;
  Revision: 0..REVISIONS; -- 0: there is no record
  State: enum { AWAY, EMPTY, HELD, INTENDING, INTENDED, OUT, MOVING };

var
  -- The store.
  last: Revision;
  stored: array[Cell] of Revision;  -- the job's record
  intent: array[Cell] of boolean;   -- the record says that a run may be out
  mark: boolean;
  notice: array[Cell] of boolean;
  row: array[Cell] of 0..TERMS;

  -- The owner of each term.
  state: array[Cell] of array[Term] of State;
  known: array[Cell] of array[Term] of Revision;
  inFlight: array[Cell] of array[Term] of Revision; -- a transfer on its way, by the revision on which it is conditional

  active: array[Cell] of boolean;   -- a run of the job's task is at work on a worker of the cell
  isCreateLate: boolean;            -- a repetition of the first write of the record is on its way

function Other(c: Cell): Cell;
begin
  return 3 - c;
end;

function Matches(c: Cell; expected: Revision): boolean;
begin
  return stored[c] != 0 & (stored[c] = expected | RULE_REVISION = 0);
end;

startstate "the job is stored in its home cell"
begin
  last := 1;
  isCreateLate := true;
  mark := false;
  for c: Cell do
    stored[c] := 0;
    intent[c] := false;
    notice[c] := false;
    row[c] := 0;
    active[c] := false;
    for t: Term do
      state[c][t] := AWAY;
      known[c][t] := 0;
      inFlight[c][t] := 0;
    end;
  end;
  stored[1] := 1;
end;

ruleset c: Cell do rule "an entry takes the row and reads the records"
  row[c] < TERMS
==>
begin
  row[c] := row[c] + 1;
  known[c][row[c]] := stored[c];
  state[c][row[c]] := stored[c] = 0 ? EMPTY : (intent[c] ? OUT : HELD);
end end;

ruleset c: Cell; t: Term do rule "an owner reads a notice and the record"
  state[c][t] = EMPTY & row[c] = t & notice[c]
==>
begin
  notice[c] := false;
  if stored[c] != 0 then
    known[c][t] := stored[c];
    state[c][t] := HELD;
  end;
end end;

ruleset c: Cell; t: Term do rule "an owner intends a start"
  state[c][t] = HELD
==>
begin
  state[c][t] := INTENDING;
end end;

ruleset c: Cell; t: Term do rule "the intent is stored"
  state[c][t] = INTENDING & row[c] = t & last < REVISIONS
==>
begin
  last := last + 1;
  stored[c] := last;
  known[c][t] := last;
  intent[c] := true;
  state[c][t] := INTENDED;
end end;

ruleset c: Cell; t: Term do rule "the start is carried out"
  state[c][t] = INTENDED & row[c] = t
==>
begin
  assert "one run at a time" !active[Other(c)];
  active[c] := true;
  state[c][t] := OUT;
end end;

ruleset c: Cell do rule "a run is lost"
  active[c]
==>
begin
  active[c] := false;
end end;

ruleset c: Cell; t: Term do rule "the owner learns that no run is out, and stores that"
  state[c][t] = OUT & row[c] = t & !active[c] & last < REVISIONS
==>
begin
  last := last + 1;
  stored[c] := last;
  known[c][t] := last;
  intent[c] := false;
  state[c][t] := HELD;
end end;

ruleset c: Cell; t: Term do rule "the owner sends a transfer, or repeats it"
  (state[c][t] = HELD | state[c][t] = MOVING) & known[c][t] != 0
==>
begin
  state[c][t] := MOVING;
  inFlight[c][t] := known[c][t];
end end;

ruleset c: Cell; t: Term do rule "a transfer takes effect"
  inFlight[c][t] != 0 & row[c] = t & Matches(c, inFlight[c][t]) & stored[Other(c)] = 0 & last < REVISIONS
==>
begin
  last := last + 1;
  stored[Other(c)] := last;
  stored[c] := 0;
  intent[Other(c)] := false;
  intent[c] := false;
  mark := c = 1 & RULE_MARK = 1;
  notice[Other(c)] := RULE_NOTICE = 1;
  inFlight[c][t] := 0;
end end;

ruleset c: Cell; t: Term do rule "a transfer is lost"
  inFlight[c][t] != 0
==>
begin
  inFlight[c][t] := 0;
end end;

ruleset c: Cell; t: Term do rule "the owner learns that the transfer took effect"
  state[c][t] = MOVING & (stored[c] = 0 | RULE_KNOWN = 0)
==>
begin
  state[c][t] := EMPTY;
  known[c][t] := 0;
end end;

ruleset c: Cell; t: Term do rule "the owner gives a transfer up"
  state[c][t] = MOVING & stored[c] != 0 & (inFlight[c][t] = 0 | RULE_SETTLED = 0)
==>
begin
  state[c][t] := HELD;
end end;

rule "a repetition of the first write takes effect"
  isCreateLate & stored[1] = 0 & !mark & last < REVISIONS
==>
begin
  last := last + 1;
  stored[1] := last;
  isCreateLate := false;
end;

rule "the repetition of the first write is lost"
  isCreateLate
==>
begin
  isCreateLate := false;
end;

invariant "the job's record stands in exactly one cell"
  (stored[1] != 0) != (stored[2] != 0);

invariant "an owner that does not hold a job of its cell has a notice of it"
  forall c: Cell do
    row[c] = 0 | stored[c] = 0 | state[c][row[c]] != EMPTY | notice[c]
  end;
