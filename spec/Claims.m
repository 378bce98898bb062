-- At most once, and truthful answers, across entries that die; for the checker rumur.
--
-- One request id. Its home (the owner of a claim partition, with heirs under higher epochs) grants numbered claims: 1, and
-- the next only in the place of one that is shown not to run. Claimers are entries at which the caller tries and retries.
-- A claimer sends starts only while it has leave from the home, counted from when it asked. A retry that finds an earlier
-- claim asks its holder; if that gives no answer it sweeps: every executor of the service says whether it started the
-- claim, and refuses it from then on. That no two entries act as home at once is shown in Authority.m and assumed here.
--
-- Faults: any request is late or lost (its step happens late or never); a write to the store takes effect late, or its
-- reply is lost; the transport repeats a start; homes are ended at any point; a claimer dies (it takes no more steps) or
-- pauses at any point; an executor is replaced at any point by one that knows nothing; the caller retries anywhere.
-- A reply that arrives late is the same as a receiver that pauses after it, so that replies need no state of their own.
--
-- Each RULE_ constant switches one rule off when spec/check sets it to 0.

const
  CLAIMERS: 2;
  EXECUTORS: 2;
  CLAIMS: 2;
  HOMES: 3;
  FAULTS: 3;                    -- ended homes, replaced executors and repeated starts, together

  RULE_COMMIT_FIRST: 1;         -- a claim is granted only once it is in the store
  RULE_HEIR_READS: 1;           -- an heir reads the journals of all earlier homes before it grants anything
  RULE_GRANT_WITH_AUTHORITY: 1; -- a home checks its authority after the write took effect, before it grants
  RULE_LATEST_EPOCH: 1;         -- of two records of one claim, the one under the higher epoch counts
  RULE_RECORD_AGAIN: 1;         -- an heir gives leave for an earlier claim only once it recorded it under its own epoch
  RULE_ONE_CLAIM: 1;            -- an id already claimed by another never gets a second claim unless the first can't run
  RULE_COMPARE_CLAIM: 1;        -- and then only the claim that was shown not to run is replaced
  RULE_KNOWN_RUN_REFUSED: 1;    -- an executor refuses to start a claim that it started before
  RULE_STOP_IS_FINAL: 1;        -- an executor refuses to start a claim that was stopped there
  RULE_STOP_BEFORE_NOT_RUN: 1;  -- a claimer that lost the connection stops the run there before it says not-run
  RULE_STOP_BEFORE_NEXT: 1;     -- and before it tries another executor
  RULE_START_UNDER_LEAVE: 1;    -- a claimer sends its start only while it has leave
  RULE_SWEEP_EVERY_EXECUTOR: 1; -- a claim is shown not to run only when every executor was swept
  RULE_SWEEP_AFTER_LEAVE: 1;    -- by a sweep that began after the claimer's leave was over
  RULE_NO_LEAVE_SINCE_SWEEP: 1; -- and the home has not renewed the leave since
  RULE_NOT_RUN_IF_CLOSED: 1;    -- not-run isn't said while a swept claim is not yet replaced in the store
  RULE_START_NAMES_EXECUTOR: 1; -- a start names the incarnation of the executor; its replacement refuses it
  RULE_REPLACED_CANT_VOUCH: 1;  -- that a replaced executor doesn't know the id proves nothing
  RULE_TOLD_IS_SPENT: 1;        -- a claim for which the claimer has said not-run isn't used again

type
  Claimer: scalarset(CLAIMERS);
  Executor: scalarset(EXECUTORS);
  Claim: 0..CLAIMS;             -- 0: none
  RealClaim: 1..CLAIMS;
  Epoch: 1..HOMES;
  Phase: enum {
    TOLD,       -- has told the caller, or was never asked
    ASKS,       -- waits for its home's answer
    HOLDS,      -- was granted a claim, looks for a slot
    GRANTED,    -- may send its start
    SENT,       -- sent it
    SWEEPS      -- was told that another claimer was there first
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
  known: Journal;               -- granted, as the home knows it
  writing: Journal;             -- its write on the way to the store
  committed: boolean;           -- took effect; the home doesn't know yet
  late: array[Epoch] of Journal; -- writes of ended homes that may still take effect
  journal: array[Epoch] of Journal; -- in the store

  -- The claimers.
  phase: array[Claimer] of Phase;
  holds: array[Claimer] of Claim;  -- the claim that it wants, uses or seals
  at: array[Claimer] of Executor;
  atReplacement: array[Claimer] of boolean; -- the incarnation of the executor for which its slot was granted
  spent: array[Claimer] of Claim;  -- the last claim of its own on which it told an outcome
  told: array[RealClaim] of Outcome; -- by the holder of the claim, in its memory; RAN is kept as UNKNOWN
  leave: array[RealClaim] of boolean; -- the holder may send starts
  swept: array[Claimer] of array[Executor] of boolean;
  shown: array[Claimer] of boolean; -- what it wants to replace was shown not to run

  -- The executors.
  starts: array[Executor] of array[RealClaim] of boolean; -- on their way
  started: array[Executor] of array[RealClaim] of boolean;
  refused: array[Executor] of array[RealClaim] of boolean;
  vouches: array[Executor] of array[RealClaim] of boolean; -- it was there before the claim
  replaced: array[Executor] of boolean;

  faults: 0..FAULTS;            -- that may still happen

  -- What happened.
  ran: array[RealClaim] of boolean;
  saidNotRun: array[RealClaim] of boolean;

procedure ClearJournal(var j: Journal);
begin
  j.claim := 0;
  undefine j.claimer;
end;

-- A record that a higher epoch's has replaced makes no difference to any later heir.
procedure DropReplaced();
begin
  if RULE_LATEST_EPOCH = 1 & RULE_GRANT_WITH_AUTHORITY = 1 & RULE_HEIR_READS = 1 then
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

-- Not-run is said of the id: of the claim and of all before it.
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
    told[holds[c]] := (outcome = RAN) ? UNKNOWN : outcome; -- the same from here on: it isn't run again
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

-- Not while the claim is being replaced. A claim that an earlier home recorded must stand in this one's journal first:
-- else a late write of the earlier home could replace it for the next heir.
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

-- Asks the executor by id and has it refuse the claim if it was not started.
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

-- The holder's leave counts from its ask. A claim can't be shown not to run by a sweep that began before.
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

rule "the heir records an earlier home's claim again"
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

rule "the heir reads the journals"
  !ready
==>
begin
  if RULE_HEIR_READS = 1 then
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
  -- It holds no claim, and uses one that is granted later only for a new try. Of an earlier claim it says not-run only
  -- if that was closed by its holder.
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

-- From here the start may be on its way for ever: its sender may pause just after the check.
ruleset c: Claimer do rule "the claimer checks its leave and sends its start"
  phase[c] = GRANTED & (leave[holds[c]] | RULE_START_UNDER_LEAVE = 0)
==>
begin
  if atReplacement[c] = replaced[at[c]] | RULE_START_NAMES_EXECUTOR = 0 then
    starts[at[c]][holds[c]] := true;
  end; -- else refused: it names the executor that was replaced
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

-- A retry whose id another entry claimed.

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

-- Again: the transport will repeat it.
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
cover "a late write of an ended home differs from the heir's claim"
  late[1].claim != 0 & epoch = 2 & writing.claim != 0 & writing.claimer != late[1].claimer;
cover "a start is still on its way after not-run was said"
  exists x: Executor do starts[x][1] & saidNotRun[1] end;
