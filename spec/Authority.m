-- Who may act as owner of a back end, for the checker rumur.
--
-- One watched holder owns one back end. Guardians promise it authority for a short time; two of them stand on its record
-- in the store at once, out of a pool of three, and those that left the set may still be reached. The store offers
-- compare-and-swap. The record's version is raised by each successful CAS of the holder on its own record. Only equality
-- with the current version matters, so that versions are kept as "current" or "older", and their number is not bounded.
--
-- Faults: any message is late, lost or overtaken; a reply of the store is lost or late; the store is out (its steps don't
-- happen); any process pauses or dies at any point (its steps don't happen); clocks drift.
--
-- Time: ages are in real ticks since the event. A clock that measures a duration as long as a promise is off by at most
-- DRIFT. The holder counts for as long as its own clock could still be under PROMISE; a guardian may lapse as soon as its
-- own clock could have reached WAIT. Both are the worst cases; nothing ever has to happen in time.
--
-- Each RULE_ constant switches one rule off when spec/check sets it to 0.

const
  PROMISE: 2;
  DRIFT: 1;
  FAULTS_STOP: 1;               -- whether faults may stop for good; spec/check leaves it out of the mutants

  RULE_EVERY_GUARDIAN: 1;       -- all guardians' lapses are needed to end an entry, not one
  RULE_COUNT_FROM_SEND: 1;      -- the holder counts a promise from when it sent its request
  RULE_OWN_CAS_FROM_SEND: 1;    -- and its own CAS from when it first sent it
  RULE_WAIT: 1;                 -- a guardian that promised waits a promise time before it lapses
  RULE_DRIFT_IN_WAIT: 1;        -- the guardian's wait allows for the drift of both clocks
  RULE_DECIDE_FIRST: 1;         -- it decides never to promise that version again before it sends the lapse
  RULE_LAPSE_BY_CAS: 1;         -- a lapse counts only for the version for which it was sent
  RULE_RAISE_CLEARS: 1;         -- raising the version clears the lapses recorded so far
  RULE_WATCH_ANEW: 1;           -- a guardian watches a raised version for a whole wait before it lapses
  RULE_PROMISE_WITH_AUTHORITY: 1; -- a guardian that was ended doesn't promise
  RULE_STAND_IN_WAITS: 1;       -- who stands in for an ended guardian waits first
  RULE_STAND_IN_WATCHES: 1;     -- and waits anew when the version was raised
  RULE_STAND_IN: 1;             -- somebody stands in for an ended guardian at all
  RULE_END_BY_CAS: 1;           -- ending an entry is a CAS on the record that shows all lapses
  RULE_OWN_CAS_COMPARES: 1;     -- a holder's write to its own record is a CAS too, and fails once the entry is ended
  RULE_FORGET_OUTGOING: 1;      -- once a change of guardian is sent, the outgoing one isn't asked again
  RULE_UNSETTLED_CHANGE: 1;     -- a read that doesn't show the change yet doesn't settle it
  RULE_PRESENT_EPOCH: 1;        -- an heir presents its epoch to a back end that understands one before it gives work
  RULE_WAIT_OUT_STARTS: 1;      -- and waits out the longest start in flight for one that doesn't

  HOLD: PROMISE + DRIFT;        -- longest real time for which a holder may count a promise
  WAIT: PROMISE + 2 * DRIFT * RULE_DRIFT_IN_WAIT; -- a guardian's wait on its own clock
  LEAST: (WAIT - DRIFT) * RULE_WAIT;              -- shortest real time that this can be
  FLIGHT: 1;                    -- longest real time between a check of authority and the arrival of its start

type
  Guardian: scalarset(3);
  Age: 0..HOLD;                 -- HOLD: too old to be of use, or none
  Cas: enum { NO_CAS, PENDING, APPLIED }; -- APPLIED: took effect, the holder doesn't know yet
  Heir: enum { NO_HEIR, TAKING_OVER, ACTING };

var
  -- The record in the store.
  inSet: array[Guardian] of boolean;
  lapsed: array[Guardian] of boolean;
  ended: boolean;

  -- The holder.
  alive: boolean;
  held: Age;                    -- age of the latest send that counts
  cas: Cas;
  casAge: Age;
  change: boolean;              -- whether the CAS changes a guardian
  casOut: Guardian;
  casIn: Guardian;
  forgotten: boolean;           -- (mutant) the holder takes a change for failed that may still take effect

  -- The guardians; for an ended one, seen, watched and decided belong to whoever stands in for it.
  gone: array[Guardian] of boolean;
  seen: array[Guardian] of boolean;    -- knows the current version
  watched: array[Guardian] of Age;     -- since it saw it or last promised it
  decided: array[Guardian] of boolean; -- sends, or has sent, its lapse for the current version

  -- Messages between the holder and each guardian.
  request: array[Guardian] of Age;
  current: array[Guardian] of boolean; -- whether the request names the current version
  promise: array[Guardian] of Age;     -- age of the request that it answers

  calm: boolean;                -- faults have stopped for good: nothing more is lost, nobody else dies

  -- Taking over.
  sawLapses: boolean;           -- (mutant) an ender has read the lapses and will write blindly
  knowsEpochs: boolean;         -- the kind of back end
  inFlight: boolean;            -- a start by the old owner, checked just before the end
  sinceEnd: 0..FLIGHT;
  heir: Heir;

function Acts(): boolean;
begin
  return alive & held < HOLD;
end;

-- A promise no fresher than what the holder already counts can't change anything.
procedure DropUseless();
begin
  for g: Guardian do
    if request[g] >= held & RULE_COUNT_FROM_SEND = 1 then
      request[g] := HOLD;
    end;
    if request[g] = HOLD then
      current[g] := false;
    end;
    if promise[g] >= held & RULE_COUNT_FROM_SEND = 1 then
      promise[g] := HOLD;
    end;
  end;
end;

procedure ForgetCas();
begin
  cas := NO_CAS;
  casAge := HOLD;
  change := false;
  forgotten := false;
  undefine casOut;
  undefine casIn;
end;

-- Any write to the record makes a CAS that is still on its way fail.
procedure FailPending();
begin
  if cas = PENDING & RULE_OWN_CAS_COMPARES = 1 then
    ForgetCas();
  end;
end;

procedure StartWatch(g: Guardian);
begin
  seen[g] := true;
  watched[g] := 0;
  decided[g] := false;
end;

procedure StopWatch(g: Guardian);
begin
  seen[g] := false;
  watched[g] := 0;
  decided[g] := false;
end;

-- A guardian that knows the current version refuses older ones. One that doesn't may promise an older one: it will watch
-- the current version for a whole wait once it sees it.
procedure AnswerAsGuardian(g: Guardian);
begin
  if current[g] then
    if !seen[g] then
      StartWatch(g);
      promise[g] := request[g];
    elsif !decided[g] then
      watched[g] := 0;
      promise[g] := request[g];
    elsif RULE_DECIDE_FIRST = 0 then
      promise[g] := request[g];
    end;
  elsif !seen[g] then
    promise[g] := request[g];
  end;
end;

procedure RaiseVersion();
begin
  for g: Guardian do
    if RULE_RAISE_CLEARS = 1 then
      lapsed[g] := false;
    end;
    current[g] := false;
    if RULE_LAPSE_BY_CAS = 0 & decided[g] then
      -- (mutant) the lapse on its way will be written to the new version
    elsif RULE_WATCH_ANEW = 0 & !gone[g] then
      decided[g] := false;
    elsif RULE_STAND_IN_WATCHES = 0 & gone[g] then
      decided[g] := false;
    else
      StopWatch(g);
    end;
  end;
end;

procedure EndEntry();
begin
  ended := true;
  FailPending();
  inFlight := true;
  sinceEnd := 0;
end;

function MayAsk(g: Guardian): boolean;
begin
  if cas = APPLIED & change then
    if g = casIn then
      return false; -- the holder doesn't know it as a guardian yet
    end;
    if g = casOut then
      return RULE_FORGET_OUTGOING = 0 | forgotten;
    end;
  end;
  if cas = PENDING & change then
    if g = casOut then
      return RULE_FORGET_OUTGOING = 0 | forgotten;
    end;
  end;
  return inSet[g];
end;

ruleset epochs: boolean do startstate "owned"
begin
  undefine casOut;
  undefine casIn;
  for g: Guardian do
    inSet[g] := false;
    lapsed[g] := false;
    gone[g] := false;
    seen[g] := false;
    watched[g] := 0;
    decided[g] := false;
    request[g] := HOLD;
    current[g] := false;
    promise[g] := HOLD;
  end;
  for g: Guardian do
    if !(exists h: Guardian do h != g & inSet[h] & (exists i: Guardian do i != g & i != h & inSet[i] end) end) then
      inSet[g] := true;
    end;
  end;
  ended := false;
  alive := true;
  held := HOLD;
  cas := NO_CAS;
  casAge := HOLD;
  change := false;
  forgotten := false;
  calm := false;
  sawLapses := false;
  knowsEpochs := epochs;
  inFlight := false;
  sinceEnd := 0;
  heir := NO_HEIR;
end end;

rule "a tick passes"
begin
  if held < HOLD then held := held + 1; end;
  if casAge < HOLD then casAge := casAge + 1; end;
  for g: Guardian do
    if seen[g] & !decided[g] & watched[g] < LEAST then watched[g] := watched[g] + 1; end;
    if request[g] < HOLD then request[g] := request[g] + 1; end;
    if promise[g] < HOLD then promise[g] := promise[g] + 1; end;
  end;
  if ended & sinceEnd < FLIGHT then sinceEnd := sinceEnd + 1; end;
  DropUseless();
end;

-- The holder.

ruleset g: Guardian do rule "the holder asks a guardian"
  alive & MayAsk(g) & request[g] = HOLD
==>
begin
  request[g] := 0;
  current[g] := cas != APPLIED;
  DropUseless();
end end;

ruleset g: Guardian do rule "a promise arrives"
  alive & promise[g] < HOLD
==>
begin
  if RULE_COUNT_FROM_SEND = 1 then
    if promise[g] < held then held := promise[g]; end;
  else
    held := 0;
  end;
  promise[g] := HOLD;
  DropUseless();
end end;

rule "the holder sends a CAS on its own record"
  alive & cas = NO_CAS
==>
begin
  cas := PENDING;
  casAge := 0;
  change := false;
end;

ruleset outgoing: Guardian do ruleset incoming: Guardian do rule "the holder sends a change of guardian"
  alive & cas = NO_CAS & inSet[outgoing] & !inSet[incoming]
==>
begin
  cas := PENDING;
  casAge := 0;
  change := true;
  casOut := outgoing;
  casIn := incoming;
end end end;

rule "the holder learns that its CAS took effect"
  alive & cas = APPLIED
==>
begin
  if RULE_OWN_CAS_FROM_SEND = 0 then
    held := 0;
  elsif casAge < held then
    held := casAge;
  end;
  ForgetCas();
  DropUseless();
end;

rule "(mutant) the holder reads a record without its change and takes it for failed"
  RULE_UNSETTLED_CHANGE = 0 & alive & cas = PENDING & change & !forgotten
==>
begin
  forgotten := true;
end;

rule "the holder dies"
  alive & !calm
==>
begin
  alive := false;
  held := HOLD;
  if cas = APPLIED then ForgetCas(); end;
  for g: Guardian do promise[g] := HOLD; end;
end;

-- The store.

rule "the holder's CAS takes effect"
  cas = PENDING & (!ended | RULE_OWN_CAS_COMPARES = 0)
==>
begin
  if change then
    inSet[casOut] := false;
    inSet[casIn] := true;
    lapsed[casOut] := false;
  end;
  RaiseVersion();
  if alive then
    cas := APPLIED;
  else
    ForgetCas();
  end;
end;

ruleset g: Guardian do rule "a lapse takes effect"
  decided[g] & inSet[g] & !lapsed[g] & !ended
==>
begin
  lapsed[g] := true;
  FailPending();
end end;

rule "the entry is ended"
  !ended &
  ((RULE_END_BY_CAS = 0 & sawLapses) |
   (RULE_EVERY_GUARDIAN = 1 & (forall g: Guardian do inSet[g] -> lapsed[g] end)) |
   (RULE_EVERY_GUARDIAN = 0 & (exists g: Guardian do inSet[g] & lapsed[g] end)))
==>
begin
  EndEntry();
end;

rule "(mutant) an ender reads the lapses and writes later"
  RULE_END_BY_CAS = 0 & !ended & !sawLapses & (forall g: Guardian do inSet[g] -> lapsed[g] end)
==>
begin
  sawLapses := true;
end;

-- The guardians, and who stands in for one that was ended.

ruleset g: Guardian do rule "a guardian answers"
  request[g] < HOLD & (!gone[g] | RULE_PROMISE_WITH_AUTHORITY = 0)
==>
begin
  if gone[g] then
    promise[g] := request[g]; -- (mutant) its own view of the record, not its stand-in's
  else
    AnswerAsGuardian(g);
  end;
  request[g] := HOLD;
  if !alive then promise[g] := HOLD; end;
  DropUseless();
end end;

ruleset g: Guardian do rule "a guardian or its stand-in reads the record"
  inSet[g] & !seen[g] & !ended & (!gone[g] | RULE_STAND_IN = 1)
==>
begin
  StartWatch(g);
end end;

ruleset g: Guardian do rule "a guardian or its stand-in decides that its promise has lapsed"
  inSet[g] & seen[g] & !decided[g] & watched[g] >= LEAST & !ended
==>
begin
  decided[g] := true;
  watched[g] := 0;
end end;

ruleset g: Guardian do rule "a guardian is ended"
  !gone[g] & !ended & !calm
==>
begin
  gone[g] := true;
  if !(seen[g] & decided[g]) then
    StopWatch(g);
  end;
  if RULE_STAND_IN_WAITS = 0 & !decided[g] then
    seen[g] := true;
    watched[g] := LEAST;
  end;
end end;

ruleset g: Guardian do rule "a new entry joins in the place of an ended one"
  gone[g] & !inSet[g] & request[g] = HOLD & promise[g] = HOLD & (isundefined(casIn) | g != casIn) & (isundefined(casOut) | g != casOut)
==>
begin
  gone[g] := false;
  StopWatch(g);
end end;

-- Messages.

ruleset g: Guardian do rule "a request is lost"
  request[g] < HOLD & !calm
==>
begin
  request[g] := HOLD;
  DropUseless();
end end;

ruleset g: Guardian do rule "a promise is lost"
  promise[g] < HOLD & !calm
==>
begin
  promise[g] := HOLD;
end end;

rule "faults stop"
  FAULTS_STOP = 1 & !calm
==>
begin
  calm := true;
end;

-- The heir and the back end.

rule "the heir takes over"
  ended & heir = NO_HEIR
==>
begin
  heir := TAKING_OVER;
end;

rule "the heir gives work"
  heir = TAKING_OVER & (knowsEpochs | RULE_WAIT_OUT_STARTS = 0 | sinceEnd >= FLIGHT)
==>
begin
  heir := ACTING;
  if knowsEpochs & RULE_PRESENT_EPOCH = 1 then
    inFlight := false; -- the back end refuses the older epoch from now on
  end;
end;

rule "a start by the old owner arrives"
  inFlight & (knowsEpochs | sinceEnd < FLIGHT)
==>
begin
  inFlight := false;
  assert "the back end takes work from two owners" heir != ACTING;
end;

invariant "never two owners"
  ended -> !Acts();

-- From every state that can be reached a state with an owner can be reached, also once no fault can happen any more. The
-- states are finitely many, so that under any schedule which gives each enabled step a chance the back end is owned again.
liveness "owned again"
  Acts() | heir = ACTING;

-- The checker reports these unless they are reached: the model isn't empty.
cover "the heir acts"
  heir = ACTING;
cover "the holder holds authority by its own CAS alone"
  Acts() & (forall g: Guardian do gone[g] end);
cover "every guardian lapsed and the holder came back"
  Acts() & (exists g: Guardian do inSet[g] & lapsed[g] end);
cover "a start is overtaken by the heir"
  inFlight & heir = TAKING_OVER;
