-- At most once, and truthful answers, across entries that die; for the checker rumur.
--
-- One request id. Its home (the owner of a claim partition, with heirs under higher epochs) grants numbered claims: 1, and
-- the next only in the place of one that is known not to run. Claimers are entries at which the caller tries and retries.
-- Each executor has one owner (with heirs); only the owner grants its slots. That no two entries act as owner at once is
-- shown in Authority.m and assumed here.
--
-- Faults: any request is late or lost (its step happens late or never); a write to the store takes effect late, or its
-- reply is lost; a start is repeated by the transport; homes, owners and claimers are ended at any point; an ended claimer may be merely paused and go on
-- unaware; an executor is replaced at any point by one that knows nothing; the caller retries anywhere at any time.
-- A reply that arrives late is the same as a receiver that pauses after it, so that replies need no state of their own.
--
-- Each RULE_ constant switches one rule off when spec/check sets it to 0.

const
  CLAIMERS: 2;
  EXECUTORS: 2;
  CLAIMS: 2;
  HOMES: 3;
  FAULTS: 3;                    -- ended homes, claimers and owners, replaced executors and repeated starts, together

  RULE_COMMIT_FIRST: 1;         -- a claim is granted only once it is in the store
  RULE_HEIR_READS: 1;           -- an heir reads the journals of all earlier homes before it grants anything
  RULE_GRANT_WITH_AUTHORITY: 1; -- a home checks its authority after the write took effect, before it grants
  RULE_LATEST_EPOCH: 1;         -- of two records of one claim, the one under the higher epoch counts
  RULE_ONE_CLAIM: 1;            -- an id already claimed by another never gets a second claim unless the first can't run
  RULE_COMPARE_CLAIM: 1;        -- and then only the claim that was shown not to run is replaced
  RULE_KNOWN_ID_REFUSED: 1;     -- an executor refuses to start an id that it started before
  RULE_STOP_IS_FINAL: 1;        -- an executor refuses to start a claim that was stopped there
  RULE_STOP_BEFORE_NOT_RUN: 1;  -- a claimer that lost the connection stops the run there before it says not-run
  RULE_STOP_BEFORE_NEXT: 1;     -- and before it tries another executor
  RULE_SEAL_EVERY_OWNER: 1;     -- all owners seal the claim, not only one
  RULE_SEAL_IS_FINAL: 1;        -- an owner never grants a slot for a claim that it sealed
  RULE_ASK_WHERE_GRANTED: 1;    -- where a slot was granted for the claim, the executor is asked and stops it
  RULE_NEW_OWNER_ASKS: 1;       -- an owner that took over doesn't know the earlier grants: its executor is asked
  RULE_SEAL_ONLY_ENDED: 1;      -- a claim is sealed only after its claimer was ended
  RULE_NEW_OWNER_READS_ENDED: 1; -- an owner that takes over refuses claimers that were ended before
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
    SEALS       -- was told that another claimer was there first
  };
  Outcome: enum { NOTHING, RAN, NOT_RUN, UNKNOWN };
  Seal: enum { OPEN, MUST_STOP, SETTLED };
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
  first: array[Claimer] of Claimer; -- SEALS: whose claim that is
  at: array[Claimer] of Executor;
  atReplacement: array[Claimer] of boolean; -- the incarnation of the executor for which its slot was granted
  spent: array[Claimer] of Claim;  -- the last claim of its own on which it told an outcome
  told: array[RealClaim] of Outcome; -- by the holder of the claim, in its memory; RAN is kept as UNKNOWN
  ended: array[Claimer] of boolean;
  seal: array[Claimer] of array[Executor] of Seal;

  -- The owners of the executors.
  granted: array[Executor] of array[RealClaim] of boolean;
  sealed: array[Executor] of Claim; -- this claim and earlier ones get no slot
  tookOver: array[Executor] of boolean;
  knownEnded: array[Executor] of array[Claimer] of boolean;

  -- The executors.
  starts: array[Executor] of array[RealClaim] of boolean; -- on their way
  started: array[Executor] of Claim;
  stopped: array[Executor] of Claim;
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

procedure Tell(c: Claimer; outcome: Outcome);
begin
  assert "ran is true" outcome != RAN | (exists k: RealClaim do ran[k] end);
  if phase[c] = SEALS then
    -- For the claim of another. The caller's next try at this entry asks the home again.
    undefine first[c];
  else
    told[holds[c]] := (outcome = RAN) ? UNKNOWN : outcome; -- the same from here on: it isn't run again
    spent[c] := holds[c];
  end;
  if outcome = NOT_RUN then
    saidNotRun[holds[c]] := true;
  end;
  for x: Executor do seal[c][x] := OPEN; end;
  holds[c] := 0;
  undefine at[c];
  atReplacement[c] := false;
  phase[c] := TOLD;
end;

procedure AskHome(c: Claimer; claim: Claim);
begin
  phase[c] := ASKS;
  holds[c] := claim;
  undefine first[c];
  undefine at[c];
  atReplacement[c] := false;
  for x: Executor do seal[c][x] := OPEN; end;
end;

-- Asks the executor by id and stops the claim there if it was not started.
function StoppedAt(x: Executor; claim: Claim): boolean;
begin
  if started[x] != 0 then
    return false;
  end;
  if RULE_STOP_IS_FINAL = 1 & stopped[x] < claim then
    stopped[x] := claim;
  end;
  return true;
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
    ended[c] := false;
    undefine first[c];
    undefine at[c];
    atReplacement[c] := false;
  atReplacement[c] := false;
    for x: Executor do
      seal[c][x] := OPEN;
    end;
  end;
  for x: Executor do
    sealed[x] := 0;
    tookOver[x] := false;
    started[x] := 0;
    stopped[x] := 0;
    replaced[x] := false;
    for c: Claimer do knownEnded[x][c] := false; end;
    for k: RealClaim do
      granted[x][k] := false;
      starts[x][k] := false;
    end;
  end;
  for k: RealClaim do
    told[k] := NOTHING;
    ran[k] := false;
    saidNotRun[k] := false;
  end;
end;

-- The home.

ruleset c: Claimer do rule "the home writes a claim"
  ready & phase[c] = ASKS & writing.claim = 0 &
  (holds[c] = known.claim + 1 |
   RULE_COMPARE_CLAIM = 0 & holds[c] > 1 & known.claimer != c |
   RULE_ONE_CLAIM = 0 & known.claim = 1 & known.claimer != c)
==>
begin
  writing.claim := (RULE_ONE_CLAIM = 0 & known.claim = 1) ? 2 : holds[c];
  writing.claimer := c;
  if RULE_COMMIT_FIRST = 0 then
    known := writing;
  end;
end end;

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
  ready & phase[c] = ASKS & known.claim != 0 & known.claimer = c & (known.claim > spent[c] | RULE_TOLD_IS_SPENT = 0)
==>
begin
  phase[c] := HOLDS;
  holds[c] := known.claim;
end end;

ruleset c: Claimer do rule "the home answers that another was first"
  ready & phase[c] = ASKS & known.claim != 0 & known.claimer != c
==>
begin
  phase[c] := SEALS;
  holds[c] := known.claim;
  first[c] := known.claimer;
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
      if journal[e].claim > known.claim | (RULE_LATEST_EPOCH = 1 & journal[e].claim = known.claim & known.claim != 0) then
        known := journal[e];
      end;
    end;
  end;
  ready := true;
end;

-- The claimers.

ruleset c: Claimer do rule "the caller tries here"
  phase[c] = TOLD
==>
begin
  if spent[c] != 0 & spent[c] < CLAIMS then
    if told[spent[c]] = NOT_RUN then
      AskHome(c, spent[c] + 1);
    end;
  elsif spent[c] = 0 then
    AskHome(c, 1);
  end;
end end;

ruleset c: Claimer do rule "the claimer gives up waiting for its home"
  phase[c] = ASKS
==>
begin
  phase[c] := TOLD; -- not run: it holds no claim, and uses one that is granted later only for a new try
  holds[c] := 0;
end end;

ruleset c: Claimer do rule "the claimer gives up before it sent anything"
  phase[c] = HOLDS | phase[c] = GRANTED
==>
begin
  Tell(c, NOT_RUN);
end end;

ruleset c: Claimer do rule "the claimer sends its start"
  phase[c] = GRANTED
==>
begin
  if atReplacement[c] = replaced[at[c]] | RULE_START_NAMES_EXECUTOR = 0 then
    starts[at[c]][holds[c]] := true;
  end; -- else refused: it names the executor that was replaced
  phase[c] := SENT;
end end;

ruleset c: Claimer do rule "the answer arrives"
  phase[c] = SENT & started[at[c]] = holds[c] & atReplacement[c] = replaced[at[c]]
==>
begin
  Tell(c, RAN);
end end;

ruleset c: Claimer do rule "the claimer can't ask and gives up"
  phase[c] = SENT | phase[c] = SEALS
==>
begin
  Tell(c, UNKNOWN);
end end;

ruleset c: Claimer do rule "the claimer stops its start and says not-run"
  phase[c] = SENT & (atReplacement[c] = replaced[at[c]] | RULE_REPLACED_CANT_VOUCH = 0)
==>
begin
  if RULE_STOP_BEFORE_NOT_RUN = 0 then
    if started[at[c]] = 0 then Tell(c, NOT_RUN); end;
  elsif StoppedAt(at[c], holds[c]) then
    Tell(c, NOT_RUN);
  end;
end end;

ruleset c: Claimer do rule "the claimer stops its start and tries elsewhere"
  phase[c] = SENT & (atReplacement[c] = replaced[at[c]] | RULE_REPLACED_CANT_VOUCH = 0)
==>
begin
  if RULE_STOP_BEFORE_NEXT = 0 then
    if started[at[c]] = 0 then
      phase[c] := HOLDS;
      undefine at[c];
      atReplacement[c] := false;
    end;
  elsif StoppedAt(at[c], holds[c]) then
    phase[c] := HOLDS;
    undefine at[c];
    atReplacement[c] := false;
  atReplacement[c] := false;
  end;
end end;

ruleset c: Claimer do rule "a claimer is ended"
  !ended[c] & faults > 0
==>
begin
  faults := faults - 1;
  ended[c] := true;
end end;

-- A retry whose id another entry claimed.

ruleset c: Claimer do rule "the first claimer says what came of it"
  phase[c] = SEALS & !ended[first[c]] & told[holds[c]] != NOTHING
==>
begin
  if told[holds[c]] = NOT_RUN & holds[c] < CLAIMS then
    AskHome(c, holds[c] + 1);
  else
    Tell(c, told[holds[c]]);
  end;
end end;

ruleset c: Claimer do ruleset x: Executor do rule "an owner seals the claim"
  phase[c] = SEALS & seal[c][x] = OPEN & (ended[first[c]] | RULE_SEAL_ONLY_ENDED = 0)
==>
begin
  if RULE_SEAL_IS_FINAL = 1 & sealed[x] < holds[c] then
    sealed[x] := holds[c];
  end;
  if granted[x][holds[c]] & RULE_ASK_WHERE_GRANTED = 1 then
    seal[c][x] := MUST_STOP;
  elsif tookOver[x] & RULE_NEW_OWNER_ASKS = 1 then
    seal[c][x] := MUST_STOP;
  else
    seal[c][x] := SETTLED;
  end;
end end end;

ruleset c: Claimer do ruleset x: Executor do rule "an executor is asked and stops the claim"
  phase[c] = SEALS & seal[c][x] = MUST_STOP & (!replaced[x] | RULE_REPLACED_CANT_VOUCH = 0)
==>
begin
  if StoppedAt(x, holds[c]) then
    seal[c][x] := SETTLED;
  else
    Tell(c, RAN);
  end;
end end end;

function Sealed(c: Claimer): boolean;
begin
  if phase[c] != SEALS then return false; end;
  if RULE_SEAL_EVERY_OWNER = 1 then
    return forall x: Executor do seal[c][x] = SETTLED end;
  end;
  return exists x: Executor do seal[c][x] = SETTLED end;
end;

ruleset c: Claimer do rule "a sealed claim is answered with not-run"
  Sealed(c)
==>
begin
  Tell(c, NOT_RUN);
end end;

ruleset c: Claimer do rule "a sealed claim is claimed anew"
  Sealed(c) & holds[c] < CLAIMS
==>
begin
  AskHome(c, holds[c] + 1);
end end;

-- The owners.

ruleset c: Claimer do ruleset x: Executor do rule "an owner grants a slot"
  phase[c] = HOLDS & sealed[x] < holds[c] & !knownEnded[x][c]
==>
begin
  granted[x][holds[c]] := true;
  at[c] := x;
  atReplacement[c] := replaced[x];
  phase[c] := GRANTED;
end end end;

ruleset x: Executor do rule "an heir takes the executor over"
  faults > 0
==>
begin
  faults := faults - 1;
  tookOver[x] := true;
  sealed[x] := 0;
  for k: RealClaim do granted[x][k] := false; end;
  if RULE_NEW_OWNER_READS_ENDED = 1 then
    for c: Claimer do knownEnded[x][c] := ended[c]; end;
  end;
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
  if (started[x] = 0 | RULE_KNOWN_ID_REFUSED = 0) & stopped[x] < k then
    assert "the id runs twice" forall l: RealClaim do !ran[l] end;
    assert "a claim runs that was said not to" !saidNotRun[k];
    started[x] := k;
    ran[k] := true;
  end;
end end end end;

ruleset x: Executor do rule "an executor is replaced by one that knows nothing"
  !replaced[x] & faults > 0
==>
begin
  faults := faults - 1;
  replaced[x] := true;
  started[x] := 0;
  stopped[x] := 0;
  if RULE_START_NAMES_EXECUTOR = 1 then
    for k: RealClaim do starts[x][k] := false; end;
  end;
end end;

invariant "not-run is true"
  forall k: RealClaim do !(saidNotRun[k] & ran[k]) end;

cover "a second claim runs after the first was sealed"
  ran[2] & (exists c: Claimer do ended[c] end);
cover "not-run is said of a sealed claim that had a slot"
  exists x: Executor do exists c: Claimer do granted[x][1] & sealed[x] = 1 & ended[c] & saidNotRun[1] end end;
cover "a late write of an ended home differs from the heir's claim"
  late[1].claim != 0 & epoch = 2 & writing.claim != 0 & writing.claimer != late[1].claimer;
cover "an ended claimer's start runs late"
  exists c: Claimer do ended[c] & phase[c] = SENT & ran[1] end;
