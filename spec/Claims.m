-- At-most-once execution and correct outcomes when entries die; a model for the checker rumur.
--
-- One request id. Its home (the owner of a claim partition, with successors under higher epochs) grants numbered claims:
-- first 1, then the next only to replace one that is proven not to run. Claimers are entries to which the caller sends the
-- request or its retries. A claimer sends starts only while it has leave (permission for a limited time) from the home,
-- counted from its request. A retry that finds an earlier claim queries the claim's holder; if that does not reply, it
-- sweeps: every executor of the service reports whether it started the claim, and refuses it from then on. Authority.m
-- shows that no two entries act as home at once; this is assumed here.
--
-- Faults: any request is delayed or lost (its step happens late or never); a write to the store takes effect late, or its
-- reply is lost; the transport repeats a start; homes are ended at any point; a claimer dies (it takes no more steps) or
-- pauses at any point; an executor is replaced at any point by one without its state; the caller retries at any entry.
-- A reply that arrives late is equivalent to a receiver that pauses after it, so replies need no state of their own.
--
-- spec/check sets each RULE_ constant to 0 in turn, which disables that rule.

const
  CLAIMERS: 2;
  EXECUTORS: 2;
  CLAIMS: 2;
  HOMES: 3;
  FAULTS: 3;                    -- ended homes, replaced executors and repeated starts, together

  RULE_COMMIT_FIRST: 1;         -- a claim is granted only once it is in the store
  RULE_SUCCESSOR_READS: 1;           -- a successor reads the journals of all earlier homes before it grants a claim
  RULE_GRANT_WITH_AUTHORITY: 1; -- a home checks its authority after the write took effect, before it grants
  RULE_LATEST_EPOCH: 1;         -- of two records of one claim, the one under the higher epoch counts
  RULE_RECORD_AGAIN: 1;         -- a successor gives leave for an earlier claim only after recording it under its own epoch
  RULE_ONE_CLAIM: 1;            -- an id that another entry claimed gets a second claim only if the first can't run
  RULE_COMPARE_CLAIM: 1;        -- and then only the claim that was proven not to run is replaced
  RULE_KNOWN_RUN_REFUSED: 1;    -- an executor refuses to start a claim that it has already started
  RULE_STOP_IS_FINAL: 1;        -- an executor refuses to start a claim that was stopped there
  RULE_STOP_BEFORE_NOT_RUN: 1;  -- a claimer that lost the connection to an executor stops the run there before it reports not-run
  RULE_STOP_BEFORE_NEXT: 1;     -- and before it tries another executor
  RULE_START_UNDER_LEAVE: 1;    -- a claimer sends its start only while it has leave
  RULE_SWEEP_EVERY_EXECUTOR: 1; -- a claim is proven not to run only when every executor was swept
  RULE_SWEEP_AFTER_LEAVE: 1;    -- by a sweep that began after the claimer's leave had expired
  RULE_NO_LEAVE_SINCE_SWEEP: 1; -- and the home has not renewed the leave since
  RULE_NOT_RUN_IF_CLOSED: 1;    -- not-run isn't reported until a swept claim is replaced in the store
  RULE_START_NAMES_EXECUTOR: 1; -- a start names the incarnation of the executor; its replacement refuses it
  RULE_REPLACED_CANT_VOUCH: 1;  -- a replacement executor that has no record of the id proves nothing about its predecessor
  RULE_TOLD_IS_SPENT: 1;        -- a claim for which the claimer has reported not-run isn't used again

type
  Claimer: scalarset(CLAIMERS);
  Executor: scalarset(EXECUTORS);
  Claim: 0..CLAIMS;             -- 0: none
  RealClaim: 1..CLAIMS;
  Epoch: 1..HOMES;
  Phase: enum {
    TOLD,       -- has responded to the caller, or never got the request
    ASKS,       -- waits for the reply of the home
    HOLDS,      -- was granted a claim, waits for a slot
    GRANTED,    -- may send its start
    SENT,       -- has sent its start
    SWEEPS      -- was notified that another claimer holds the claim
  };
  Outcome: enum { NOTHING, RAN, NOT_RUN, UNKNOWN };
  Journal: record
    claim: Claim;
    claimer: Claimer;
  end;

var
  -- The home.
  epoch: Epoch;
  ready: boolean;               -- the journals were read
  known: Journal;               -- the granted claim in the home's memory
  writing: Journal;             -- its write in flight to the store
  committed: boolean;           -- that write took effect, but the home has no reply yet
  late: array[Epoch] of Journal; -- writes of ended homes that may still take effect
  journal: array[Epoch] of Journal; -- in the store

  -- The claimers.
  phase: array[Claimer] of Phase;
  holds: array[Claimer] of Claim;  -- the claim that it requests, uses or sweeps
  at: array[Claimer] of Executor;
  atReplacement: array[Claimer] of boolean; -- the incarnation of the executor for which its slot was granted
  spent: array[Claimer] of Claim;  -- the last of its own claims whose outcome it reported
  told: array[RealClaim] of Outcome; -- outcome reported by the claim's holder, in its memory; RAN is stored as UNKNOWN
  leave: array[RealClaim] of boolean; -- the holder may send starts
  swept: array[Claimer] of array[Executor] of boolean;
  shown: array[Claimer] of boolean; -- the claim that it wants to replace was proven not to run

  -- The executors.
  starts: array[Executor] of array[RealClaim] of boolean; -- in flight
  started: array[Executor] of array[RealClaim] of boolean;
  refused: array[Executor] of array[RealClaim] of boolean;
  vouches: array[Executor] of array[RealClaim] of boolean; -- it has been running since before the claim
  replaced: array[Executor] of boolean;

  faults: 0..FAULTS;            -- number of faults that may still happen

  -- The history that the properties check.
  ran: array[RealClaim] of boolean;
  saidNotRun: array[RealClaim] of boolean;

procedure ClearJournal(var j: Journal);
begin
  j.claim := 0;
  undefine j.claimer;
end;

-- Drops records replaced by one of a higher epoch: they make no difference to any later successor.
procedure DropReplaced();
begin
  if RULE_LATEST_EPOCH = 1 & RULE_GRANT_WITH_AUTHORITY = 1 & RULE_SUCCESSOR_READS = 1 then
    for e: Epoch do
      for f: Epoch do
        if f > e & journal[f].claim != 0 then
          if late[e].claim <= journal[f].claim then ClearJournal(late[e]); end;
          if journal[e].claim <= journal[f].claim then ClearJournal(journal[e]); end;
        end;
      end;
    end;
  end;
end;

procedure ForgetSweep(c: Claimer);
begin
  for x: Executor do swept[c][x] := false; end;
end;

procedure ForgetExecutor(c: Claimer);
begin
  undefine at[c];
  atReplacement[c] := false;
end;

-- Not-run is reported for the id, that is for the claim and all claims before it.
procedure SayNotRun(claim: Claim);
begin
  for k: RealClaim do
    if k <= claim then saidNotRun[k] := true; end;
  end;
end;

procedure Tell(c: Claimer; outcome: Outcome);
begin
  assert "ran is true" outcome != RAN | (exists k: RealClaim do ran[k] end);
  if outcome = NOT_RUN then
    SayNotRun(holds[c]);
  end;
  if phase[c] != SWEEPS then
    told[holds[c]] := (outcome = RAN) ? UNKNOWN : outcome; -- equivalent from here on: it isn't run again
    spent[c] := holds[c];
    leave[holds[c]] := false;
  end;
  ForgetSweep(c);
  ForgetExecutor(c);
  shown[c] := false;
  holds[c] := 0;
  phase[c] := TOLD;
end;

procedure AskHome(c: Claimer; claim: Claim; isShown: boolean);
begin
  phase[c] := ASKS;
  holds[c] := claim;
  shown[c] := isShown;
  ForgetSweep(c);
  ForgetExecutor(c);
end;

-- False while the claim is being replaced. A claim that an earlier home recorded must first be in this home's journal:
-- otherwise a late write of the earlier home could replace it for the next successor.
function MayGiveLeave(): boolean;
begin
  if RULE_COMMIT_FIRST = 0 then
    return true;
  end;
  if writing.claim != 0 then
    return false;
  end;
  return RULE_RECORD_AGAIN = 0 | journal[epoch].claim = known.claim;
end;

-- Queries the executor by id and makes it refuse the claim from now on if it has not started it.
function RefusedAt(x: Executor; claim: Claim): boolean;
begin
  if started[x][claim] then
    return false;
  end;
  if RULE_STOP_IS_FINAL = 1 then
    refused[x][claim] := true;
  end;
  return true;
end;

-- The holder's leave counts from its request. A sweep that began before can't prove that the claim doesn't run.
procedure GiveLeave(claim: Claim);
begin
  leave[claim] := true;
  if RULE_NO_LEAVE_SINCE_SWEEP = 1 then
    for c: Claimer do
      if phase[c] = SWEEPS & holds[c] = claim then
        ForgetSweep(c);
      elsif phase[c] = ASKS & holds[c] = claim + 1 then
        shown[c] := false;
      end;
    end;
  end;
end;

startstate "unclaimed"
begin
  epoch := 1;
  faults := FAULTS;
  ready := true;
  ClearJournal(known);
  ClearJournal(writing);
  committed := false;
  for e: Epoch do
    ClearJournal(late[e]);
    ClearJournal(journal[e]);
  end;
  for c: Claimer do
    phase[c] := TOLD;
    holds[c] := 0;
    spent[c] := 0;
    shown[c] := false;
    ForgetSweep(c);
    ForgetExecutor(c);
  end;
  for x: Executor do
    replaced[x] := false;
    for k: RealClaim do
      starts[x][k] := false;
      started[x][k] := false;
      refused[x][k] := false;
      vouches[x][k] := false;
    end;
  end;
  for k: RealClaim do
    told[k] := NOTHING;
    leave[k] := false;
    ran[k] := false;
    saidNotRun[k] := false;
  end;
end;

-- The home.

ruleset c: Claimer do rule "the home writes a claim"
  ready & phase[c] = ASKS & writing.claim = 0 &
  (holds[c] = known.claim + 1 & (shown[c] | known.claim = 0) |
   RULE_COMPARE_CLAIM = 0 & holds[c] > 1 & known.claimer != c |
   RULE_ONE_CLAIM = 0 & known.claim = 1 & known.claimer != c)
==>
begin
  writing.claim := (RULE_ONE_CLAIM = 0 & known.claim = 1) ? 2 : holds[c];
  writing.claimer := c;
  for x: Executor do vouches[x][writing.claim] := true; end;
  if RULE_COMMIT_FIRST = 0 then
    known := writing;
  end;
end end;

rule "the successor records an earlier home's claim again"
  ready & RULE_RECORD_AGAIN = 1 & known.claim != 0 & journal[epoch].claim != known.claim & writing.claim = 0
==>
begin
  writing := known;
end;

rule "the write takes effect"
  writing.claim != 0 & !committed
==>
begin
  journal[epoch] := writing;
  committed := true;
  DropReplaced();
end;

rule "the home learns that the write took effect"
  committed
==>
begin
  known := writing;
  ClearJournal(writing);
  committed := false;
end;

ruleset c: Claimer do rule "the home answers that the claim is granted"
  ready & phase[c] = ASKS & known.claim != 0 & known.claimer = c &
  MayGiveLeave() & (known.claim > spent[c] | RULE_TOLD_IS_SPENT = 0)
==>
begin
  phase[c] := HOLDS;
  holds[c] := known.claim;
  shown[c] := false;
  GiveLeave(known.claim);
end end;

ruleset c: Claimer do rule "the home renews the leave"
  ready & (phase[c] = HOLDS | phase[c] = GRANTED) & known.claim = holds[c] & known.claimer = c & MayGiveLeave()
==>
begin
  GiveLeave(known.claim);
end end;

ruleset c: Claimer do rule "the home answers that another was first"
  ready & phase[c] = ASKS & known.claim != 0 & known.claimer != c & !(holds[c] = known.claim + 1 & shown[c])
==>
begin
  phase[c] := SWEEPS;
  holds[c] := known.claim;
  shown[c] := false;
end end;

ruleset k: RealClaim do rule "a leave is over"
  leave[k]
==>
begin
  leave[k] := false;
end end;

rule "the home is ended"
  epoch < HOMES & faults > 0
==>
begin
  faults := faults - 1;
  if writing.claim != 0 & !committed then
    late[epoch] := writing;
  end;
  ClearJournal(writing);
  ClearJournal(known);
  committed := false;
  epoch := epoch + 1;
  ready := false;
end;

ruleset e: Epoch do rule "a write of an ended home takes effect late"
  late[e].claim != 0
==>
begin
  journal[e] := late[e];
  if RULE_GRANT_WITH_AUTHORITY = 0 & phase[late[e].claimer] = ASKS then
    phase[late[e].claimer] := HOLDS;
    holds[late[e].claimer] := late[e].claim;
    leave[late[e].claim] := true;
  end;
  ClearJournal(late[e]);
  DropReplaced();
end end;

rule "the successor reads the journals"
  !ready
==>
begin
  if RULE_SUCCESSOR_READS = 1 then
    for e: Epoch do
      if journal[e].claim != 0 & (RULE_LATEST_EPOCH = 1 | journal[e].claim > known.claim) then
        known := journal[e];
      end;
    end;
  end;
  ready := true;
end;

-- The claimers.

ruleset c: Claimer do rule "the caller tries here"
  phase[c] = TOLD & (spent[c] = 0 | (spent[c] < CLAIMS & told[spent[c]] = NOT_RUN))
==>
begin
  AskHome(c, spent[c] + 1, spent[c] != 0);
end end;

ruleset c: Claimer do rule "the claimer gives up waiting for its home"
  phase[c] = ASKS
==>
begin
  -- It holds no claim, and uses one that is granted later only for a new attempt. It reports not-run for an earlier claim
  -- only if the holder of that claim closed it.
  if RULE_NOT_RUN_IF_CLOSED = 0 & writing.claim = holds[c] & writing.claimer = c then
    SayNotRun(holds[c] - 1);
  elsif holds[c] > 1 & told[holds[c] - 1] = NOT_RUN then
    SayNotRun(holds[c] - 1);
  end;
  phase[c] := TOLD;
  holds[c] := 0;
  shown[c] := false;
end end;

ruleset c: Claimer do ruleset x: Executor do rule "an owner grants a slot"
  phase[c] = HOLDS
==>
begin
  at[c] := x;
  atReplacement[c] := replaced[x];
  phase[c] := GRANTED;
end end end;

ruleset c: Claimer do rule "the claimer gives up before it sent anything"
  phase[c] = HOLDS | phase[c] = GRANTED
==>
begin
  Tell(c, NOT_RUN);
end end;

-- From here the start may be in flight indefinitely: its sender may pause just after the check.
ruleset c: Claimer do rule "the claimer checks its leave and sends its start"
  phase[c] = GRANTED & (leave[holds[c]] | RULE_START_UNDER_LEAVE = 0)
==>
begin
  if atReplacement[c] = replaced[at[c]] | RULE_START_NAMES_EXECUTOR = 0 then
    starts[at[c]][holds[c]] := true;
  end; -- otherwise refused: it names the incarnation that was replaced
  phase[c] := SENT;
end end;

ruleset c: Claimer do rule "the answer arrives"
  phase[c] = SENT & started[at[c]][holds[c]]
==>
begin
  Tell(c, RAN);
end end;

ruleset c: Claimer do rule "the claimer can't ask and gives up"
  phase[c] = SENT | phase[c] = SWEEPS
==>
begin
  Tell(c, UNKNOWN);
end end;

ruleset c: Claimer do rule "the claimer has its start refused and says not-run"
  phase[c] = SENT & (atReplacement[c] = replaced[at[c]] | RULE_REPLACED_CANT_VOUCH = 0)
==>
begin
  if RULE_STOP_BEFORE_NOT_RUN = 0 then
    if !started[at[c]][holds[c]] then Tell(c, NOT_RUN); end;
  elsif RefusedAt(at[c], holds[c]) then
    Tell(c, NOT_RUN);
  end;
end end;

ruleset c: Claimer do rule "the claimer has its start refused and tries elsewhere"
  phase[c] = SENT & (atReplacement[c] = replaced[at[c]] | RULE_REPLACED_CANT_VOUCH = 0)
==>
begin
  if RULE_STOP_BEFORE_NEXT = 0 then
    if !started[at[c]][holds[c]] then
      phase[c] := HOLDS;
      ForgetExecutor(c);
    end;
  elsif RefusedAt(at[c], holds[c]) then
    phase[c] := HOLDS;
    ForgetExecutor(c);
  end;
end end;

-- A retry whose id was claimed by another entry.

ruleset c: Claimer do rule "the holder says what came of it"
  phase[c] = SWEEPS & told[holds[c]] != NOTHING
==>
begin
  if told[holds[c]] = NOT_RUN & holds[c] < CLAIMS then
    AskHome(c, holds[c] + 1, true);
  else
    Tell(c, told[holds[c]]);
  end;
end end;

ruleset c: Claimer do ruleset x: Executor do rule "an executor is swept"
  phase[c] = SWEEPS & !swept[c][x] &
  (!leave[holds[c]] | RULE_SWEEP_AFTER_LEAVE = 0) &
  (vouches[x][holds[c]] | started[x][holds[c]] | RULE_REPLACED_CANT_VOUCH = 0)
==>
begin
  if RefusedAt(x, holds[c]) then
    swept[c][x] := true;
  else
    Tell(c, RAN);
  end;
end end end;

ruleset c: Claimer do rule "a swept claim is replaced"
  phase[c] = SWEEPS & holds[c] < CLAIMS &
  ((forall x: Executor do swept[c][x] end) |
   (RULE_SWEEP_EVERY_EXECUTOR = 0 & (exists x: Executor do swept[c][x] end)))
==>
begin
  AskHome(c, holds[c] + 1, true);
end end;

-- The executors.

-- again: the transport will deliver the start once more.
ruleset again: boolean do ruleset x: Executor do ruleset k: RealClaim do rule "a start arrives"
  starts[x][k] & (!again | faults > 0)
==>
begin
  if again then
    faults := faults - 1;
  else
    starts[x][k] := false;
  end;
  if (!started[x][k] | RULE_KNOWN_RUN_REFUSED = 0) & !refused[x][k] then
    assert "the id runs twice" forall l: RealClaim do !ran[l] end;
    assert "a claim runs that was said not to" !saidNotRun[k];
    started[x][k] := true;
    ran[k] := true;
  end;
end end end end;

ruleset x: Executor do rule "an executor is replaced by one that knows nothing"
  !replaced[x] & faults > 0
==>
begin
  faults := faults - 1;
  replaced[x] := true;
  for k: RealClaim do
    started[x][k] := false;
    refused[x][k] := false;
    vouches[x][k] := false;
  end;
  if RULE_START_NAMES_EXECUTOR = 1 then
    for k: RealClaim do starts[x][k] := false; end;
  end;
end end;

invariant "not-run is true"
  forall k: RealClaim do !(saidNotRun[k] & ran[k]) end;

cover "a second claim runs after the first was swept"
  ran[2] & told[1] = NOTHING;
cover "a second claim runs after the first was closed"
  ran[2] & told[1] = NOT_RUN;
cover "a late write of an ended home differs from the successor's claim"
  late[1].claim != 0 & epoch = 2 & writing.claim != 0 & writing.claimer != late[1].claimer;
cover "a start is still on its way after not-run was said"
  exists x: Executor do starts[x][1] & saidNotRun[1] end;
