-- Which entry may act as the owner of a back end; a model for the checker rumur.
--
-- One entry, the holder, owns one back end. Guardians promise it authority for a short time. Its record in the store lists
-- two guardians at once, out of a pool of three; guardians that left this set may still be reached. The store offers
-- compare-and-swap (CAS). Each successful CAS of the holder on its own record raises the record's version. Only equality
-- with the current version matters, so versions are modelled as "current" or "older", and their number is not bounded.
--
-- Faults: any message is delayed, lost or reordered; a reply of the store is lost or delayed; the store is unavailable (its
-- steps don't happen); any process pauses or dies at any point (its steps don't happen); clocks drift.
--
-- Time: ages are in ticks of real time since the event. A clock that measures an interval as long as a promise is off by
-- at most DRIFT. The holder counts a promise for as long as its own clock could still be below PROMISE; a guardian may
-- lapse as soon as its own clock could have reached WAIT. Both are the worst cases; no step ever has to happen in time.
--
-- spec/check sets each RULE_ constant to 0 in turn, which disables that rule.

const
  PROMISE: 2;
  DRIFT: 1;
  FAULTS_STOP: 1;               -- whether faults may stop permanently; spec/check sets it to 0 in the mutants

  RULE_EVERY_GUARDIAN: 1;       -- an entry is ended only when all its guardians have lapsed, not one
  RULE_COUNT_FROM_SEND: 1;      -- the holder counts a promise from the time it sent the request
  RULE_OWN_CAS_FROM_SEND: 1;    -- and its own CAS from the time it first sent it
  RULE_WAIT: 1;                 -- a guardian that promised waits for the duration of a promise before it lapses
  RULE_DRIFT_IN_WAIT: 1;        -- the guardian's wait includes the drift of both clocks
  RULE_DECIDE_FIRST: 1;         -- before it sends the lapse, it decides never to promise that version again
  RULE_LAPSE_BY_CAS: 1;         -- a lapse counts only for the version for which it was sent
  RULE_RAISE_CLEARS: 1;         -- raising the version clears the lapses recorded so far
  RULE_WATCH_ANEW: 1;           -- a guardian watches a raised version for a full wait before it lapses
  RULE_PROMISE_WITH_AUTHORITY: 1; -- a guardian whose own entry was ended doesn't promise
  RULE_STAND_IN_WAITS: 1;       -- the stand-in for an ended guardian waits first
  RULE_STAND_IN_WATCHES: 1;     -- and waits again when the version was raised
  RULE_STAND_IN: 1;             -- an ended guardian has a stand-in at all
  RULE_END_BY_CAS: 1;           -- an entry is ended by a CAS on the version of the record that shows all lapses
  RULE_OWN_CAS_COMPARES: 1;     -- a holder's write to its own record is a CAS too, and fails once the entry is ended
  RULE_FORGET_OUTGOING: 1;      -- once a change of guardian is sent, no request goes to the outgoing one
  RULE_UNSETTLED_CHANGE: 1;     -- a read that doesn't show the change yet doesn't prove that it failed
  RULE_PRESENT_EPOCH: 1;        -- a successor presents its epoch, if the back end supports epochs, before it assigns work
  RULE_WAIT_OUT_STARTS: 1;      -- otherwise it first waits for the max time that a start can be in flight

  HOLD: PROMISE + DRIFT;        -- max real time for which a holder may count a promise
  WAIT: PROMISE + 2 * DRIFT * RULE_DRIFT_IN_WAIT; -- a guardian's wait on its own clock
  LEAST: (WAIT - DRIFT) * RULE_WAIT;              -- min real time that this wait can take
  FLIGHT: 1;                    -- max real time from a check of authority to the arrival of the start that it allowed

type
  Guardian: scalarset(3);
  Age: 0..HOLD;                 -- HOLD: expired, or none
  Cas: enum { NO_CAS, PENDING, APPLIED }; -- APPLIED: took effect, but the holder has no reply yet
  Succession: enum { NO_SUCCESSOR, TAKING_OVER, ACTING };

var
  -- The record in the store.
  inSet: array[Guardian] of boolean;
  lapsed: array[Guardian] of boolean;
  ended: boolean;

  -- The holder.
  alive: boolean;
  held: Age;                    -- age of the latest request or CAS whose success is known
  cas: Cas;
  casAge: Age;
  change: boolean;              -- whether the CAS changes a guardian
  casOut: Guardian;
  casIn: Guardian;
  forgotten: boolean;           -- (mutant) the holder assumes that a change failed that may still take effect

  -- The guardians. For an ended guardian, seen, watched and decided are those of its stand-in.
  gone: array[Guardian] of boolean;
  seen: array[Guardian] of boolean;    -- has read the current version
  watched: array[Guardian] of Age;     -- time since it read that version or last promised it
  decided: array[Guardian] of boolean; -- is sending, or has sent, its lapse for the current version

  -- Messages between the holder and each guardian.
  request: array[Guardian] of Age;
  current: array[Guardian] of boolean; -- the request names the current version
  promise: array[Guardian] of Age;     -- age of the request to which it replies

  calm: boolean;                -- faults have stopped permanently: no message is lost and no process dies any more

  -- The takeover by a successor.
  sawLapses: boolean;           -- (mutant) an entry that ends the holder has read the lapses and will write without comparing
  knowsEpochs: boolean;         -- whether the back end checks epochs
  inFlight: boolean;            -- a start by the former owner, which checked its authority just before it was ended
  sinceEnd: 0..FLIGHT;
  successor: Succession;

function Acts(): boolean;
begin
  return alive & held < HOLD;
end;

-- Drops requests and promises that are no newer than what the holder already counts: they have no effect.
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

-- Any write to the record makes a pending CAS fail.
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

-- A guardian that has read the current version refuses older ones. One that hasn't may promise an older version: it will
-- watch the current version for a full wait once it reads it.
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
      -- (mutant) the lapse in flight will be written to the new version
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
      return false; -- the holder has not learnt yet that this is a guardian
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
  successor := NO_SUCCESSOR;
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

-- The guardians, and the stand-in for one that was ended.

ruleset g: Guardian do rule "a guardian answers"
  request[g] < HOLD & (!gone[g] | RULE_PROMISE_WITH_AUTHORITY = 0)
==>
begin
  if gone[g] then
    promise[g] := request[g]; -- (mutant) uses its own view of the record, not that of its stand-in
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

-- The successor and the back end.

rule "the successor takes over"
  ended & successor = NO_SUCCESSOR
==>
begin
  successor := TAKING_OVER;
end;

rule "the successor gives work"
  successor = TAKING_OVER & (knowsEpochs | RULE_WAIT_OUT_STARTS = 0 | sinceEnd >= FLIGHT)
==>
begin
  successor := ACTING;
  if knowsEpochs & RULE_PRESENT_EPOCH = 1 then
    inFlight := false; -- from now on the back end rejects the older epoch
  end;
end;

rule "a start by the old owner arrives"
  inFlight & (knowsEpochs | sinceEnd < FLIGHT)
==>
begin
  inFlight := false;
  assert "the back end takes work from two owners" successor != ACTING;
end;

invariant "never two owners"
  ended -> !Acts();

-- From every reachable state a state with an owner is reachable, also after faults have stopped. The number of states is
-- finite, so under any fair schedule (one that gives each enabled step a chance) the back end is owned again.
liveness "owned again"
  Acts() | successor = ACTING;

-- The checker reports each of these states that is never reached; this shows that the model isn't vacuous.
cover "the successor acts"
  successor = ACTING;
cover "the holder holds authority by its own CAS alone"
  Acts() & (forall g: Guardian do gone[g] end);
cover "every guardian lapsed and the holder came back"
  Acts() & (exists g: Guardian do inSet[g] & lapsed[g] end);
cover "a start is overtaken by the successor"
  inFlight & successor = TAKING_OVER;
