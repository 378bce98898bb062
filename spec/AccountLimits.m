-- The limit of one account that is split over several cells; a model for the checker rumur. Each cell may use a fixed part.
-- The rest is a pool, from which the owner of one cell's row, the holder, lends to the cells on their reports
-- (src/AccountLimits.h). Amounts are in one resource, and the limit doesn't change.
--
-- The store has one sequence of revisions. An owner reads rows late, but never as they were before it took its own row.
-- Starts by an owner whose row was taken have no effect, since its intents are conditional on the row.
--
-- Faults: rows are taken at any point, and the former owner and the former holder go on with what they knew; a message
-- arrives late, out of order or never.
--
-- spec/check sets each RULE_ constant to 0 in turn, which disables that rule.

const
  CELLS: 2;
  FIXED: 0;         -- 1 multiplies the number of states
  POOL: 1;
  TERMS: 2;         -- of the owner of a cell
  HOLDERS: 2;       -- terms of the holder
  REPORTS: 2;       -- of one owner in its term
  ALL_REPORTS: 6;   -- of all owners

  RULE_ALL_REPORTED: 1;   -- a holder lends nothing before every cell has reported to it
  RULE_HOLDER_ROWS: 1;    -- a holder accepts no report of an owner that was replaced before its own term began
  RULE_CELL_ROWS: 1;      -- an owner reports to no holder that was replaced before its own term began
  RULE_FORMER_HOLDER: 1;  -- an owner reports to no holder, and so takes no grant of one, before the one it last reported to
  RULE_NEWEST_REPORT: 1;  -- a holder ignores reports older than one that it has seen
  RULE_NEWEST_GRANT: 1;   -- an owner takes a grant only if it answers its newest report
  RULE_GRANT_COUNTED: 1;  -- a holder counts what a report names and what it grants in reply
  RULE_STILL_COUNTED: 1;  -- what a cell held stays counted when its owner changes
  RULE_USE_REPORTED: 1;   -- a new owner reports what the stored runs use
  RULE_ANSWERED: 1;       -- until a holder has answered it, a new owner may use no more beyond the fixed part than is in use
  RULE_ANSWERED_OPEN: 1;  -- and then only an answer counts of a holder to which every cell has reported

type
  Cell: scalarset(CELLS);
  Term: 1..TERMS;
  Holder: 1..HOLDERS;
  Number: 1..REPORTS;
  Amount: 0..POOL;
  Use: 0..FIXED + POOL;

var
  -- The store.
  row: array[Cell] of Term;
  holderRow: Holder;
  used: array[Cell] of Use;
  formerRuns: array[Cell] of Use;  -- those in use that a former owner started

  -- The owner of each term.
  held: array[Cell] of array[Term] of Amount;
  isAnswered: array[Cell] of array[Term] of boolean;
  holderAtTaking: array[Cell] of array[Term] of Holder;
  newest: array[Cell] of array[Term] of 0..REPORTS;
  lastHolder: array[Cell] of array[Term] of 0..HOLDERS; -- to which the newest report went

  -- Messages on their way, by the number of the report; reportTo is 0 where there is no report.
  reportTo: array[Cell] of array[Term] of array[Number] of 0..HOLDERS;
  reportHeld: array[Cell] of array[Term] of array[Number] of Amount;
  isReplied: array[Cell] of array[Term] of array[Number] of boolean;
  isOpen: array[Cell] of array[Term] of array[Number] of boolean; -- every cell has reported to the holder that replies
  granted: array[Cell] of array[Term] of array[Number] of Amount;

  sent: 0..ALL_REPORTS;

  -- The holder of each term.
  ownerAtTaking: array[Holder] of array[Cell] of Term;
  seenTerm: array[Holder] of array[Cell] of 0..TERMS;
  seenNumber: array[Holder] of array[Cell] of 0..REPORTS;
  counted: array[Holder] of array[Cell] of Amount;

function Beyond(u: Use): Amount;
begin
  return u > FIXED ? u - FIXED : 0;
end;

-- The least that the owner may report: what its runs use.
function Least(c: Cell; t: Term): Amount;
begin
  return Beyond(t = row[c] ? used[c] : formerRuns[c]);
end;

-- Whether a holder that has seen nothing newer accepts the report.
function IsAccepted(c: Cell; t: Term; n: Number; h: Holder): boolean;
begin
  return (t >= ownerAtTaking[h][c] | RULE_HOLDER_ROWS = 0)
    & (t > seenTerm[h][c] | (t = seenTerm[h][c] & n > seenNumber[h][c]) | RULE_NEWEST_REPORT = 0);
end;

procedure DropReport(c: Cell; t: Term; n: Number);
begin
  reportTo[c][t][n] := 0;
  reportHeld[c][t][n] := 0;
end;

procedure DropReply(c: Cell; t: Term; n: Number);
begin
  isReplied[c][t][n] := false;
  isOpen[c][t][n] := false;
  granted[c][t][n] := 0;
end;

-- Drops messages that would be ignored, which keeps the number of states small.
procedure DropIgnored(c: Cell);
begin
  for t: Term do
    for n: Number do
      if reportTo[c][t][n] != 0 & !IsAccepted(c, t, n, reportTo[c][t][n]) then
        DropReport(c, t, n);
      end;
      if (n < newest[c][t] & RULE_NEWEST_GRANT = 1) | t < row[c] then
        DropReply(c, t, n);
      end;
    end;
  end;
end;

function IsPoolOpen(h: Holder): boolean;
begin
  return forall c: Cell do seenTerm[h][c] != 0 end;
end;

function Free(h: Holder): Amount;
var sum: 0..CELLS * POOL;
begin
  sum := 0;
  if !IsPoolOpen(h) & RULE_ALL_REPORTED = 1 then
    return 0;
  end;
  for c: Cell do
    sum := sum + counted[h][c];
  end;
  return sum < POOL ? POOL - sum : 0;
end;

startstate "nothing is in use"
begin
  holderRow := 1;
  sent := 0;
  for c: Cell do
    row[c] := 1;
    used[c] := 0;
    formerRuns[c] := 0;
    for t: Term do
      held[c][t] := 0;
      isAnswered[c][t] := false;
      holderAtTaking[c][t] := 1;
      newest[c][t] := 0;
      lastHolder[c][t] := 0;
      for n: Number do
        reportTo[c][t][n] := 0;
        reportHeld[c][t][n] := 0;
        isReplied[c][t][n] := false;
        isOpen[c][t][n] := false;
        granted[c][t][n] := 0;
      end;
    end;
    for h: Holder do
      ownerAtTaking[h][c] := 1;
      seenTerm[h][c] := 0;
      seenNumber[h][c] := 0;
      counted[h][c] := 0;
    end;
  end;
end;

ruleset c: Cell do rule "an entry takes a cell's row and counts the stored runs"
  row[c] < TERMS
==>
begin
  row[c] := row[c] + 1;
  formerRuns[c] := used[c];
  held[c][row[c]] := RULE_USE_REPORTED = 1 ? Beyond(used[c]) : 0;
  holderAtTaking[c][row[c]] := holderRow;
  if RULE_STILL_COUNTED = 0 then
    counted[holderRow][c] := 0;
  end;
  DropIgnored(c);
end end;

rule "an entry takes the holder's row"
  holderRow < HOLDERS
==>
begin
  holderRow := holderRow + 1;
  for c: Cell do
    ownerAtTaking[holderRow][c] := row[c];
  end;
end;

ruleset c: Cell; t: Term; h: Holder; kept: Amount do rule "an owner gives back what it doesn't keep, and reports"
  t <= row[c] & h <= holderRow & newest[c][t] < REPORTS & sent < ALL_REPORTS
  & (h >= holderAtTaking[c][t] | RULE_CELL_ROWS = 0)
  & (h >= lastHolder[c][t] | RULE_FORMER_HOLDER = 0)
  & kept <= held[c][t] & (kept >= Least(c, t) | RULE_USE_REPORTED = 0)
==>
begin
  held[c][t] := kept;
  sent := sent + 1;
  newest[c][t] := newest[c][t] + 1;
  reportTo[c][t][newest[c][t]] := h;
  reportHeld[c][t][newest[c][t]] := kept;
  lastHolder[c][t] := h;
  DropIgnored(c);
end end;

ruleset c: Cell; t: Term; n: Number; grant: Amount do rule "a holder counts a report and grants"
  reportTo[c][t][n] != 0 & IsAccepted(c, t, n, reportTo[c][t][n])
==>
var h: Holder;
begin
  h := reportTo[c][t][n];
  seenTerm[h][c] := t;
  seenNumber[h][c] := n;
  counted[h][c] := reportHeld[c][t][n];
  DropReport(c, t, n);
  isReplied[c][t][n] := true;
  isOpen[c][t][n] := IsPoolOpen(h) | RULE_ANSWERED_OPEN = 0;
  if grant <= Free(h) then
    granted[c][t][n] := grant;
    if RULE_GRANT_COUNTED = 1 then
      counted[h][c] := counted[h][c] + grant;
    end;
  end;
  DropIgnored(c);
end end;

ruleset c: Cell; t: Term; n: Number do rule "an owner takes a grant"
  isReplied[c][t][n] & (n = newest[c][t] | RULE_NEWEST_GRANT = 0)
==>
begin
  isAnswered[c][t] := isAnswered[c][t] | isOpen[c][t][n];
  held[c][t] := held[c][t] + granted[c][t][n] > POOL ? POOL : held[c][t] + granted[c][t][n];
  DropReply(c, t, n);
end end;

ruleset c: Cell do rule "a run starts"
  used[c] < FIXED + held[c][row[c]]
==>
begin
  used[c] := used[c] + 1;
end end;

ruleset c: Cell; isFormer: boolean do rule "a run ends"
  isFormer ? formerRuns[c] > 0 : used[c] > formerRuns[c]
==>
begin
  used[c] := used[c] - 1;
  if isFormer then
    formerRuns[c] := formerRuns[c] - 1;
  end;
  if !isAnswered[c][row[c]] & RULE_ANSWERED = 1 then
    held[c][row[c]] := Beyond(used[c]) < held[c][row[c]] ? Beyond(used[c]) : held[c][row[c]];
  end;
end end;

function Total(): 0..CELLS * (FIXED + POOL);
var sum: 0..CELLS * (FIXED + POOL);
begin
  sum := 0;
  for c: Cell do
    sum := sum + used[c];
  end;
  return sum;
end;

invariant "the cells together use no more than the limit"
  Total() <= CELLS * FIXED + POOL;
