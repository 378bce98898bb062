#!/usr/bin/env bash
# A planned stop of an upstream gives it no new work within seconds and cuts off nothing; a planned stop of an entry
# under load cuts off no request in flight.
source "$(dirname "$0")/../standin/Cluster.sh"

start_platform
start_executors desk khulna-a 4 4 $((base + 300))
start_entry 1 khulna-a
start_entry 2 khulna-a
start_entry 3 khulna-a
for i in 1 2 3; do wait_for 15 http -f "http://$(entry $i)/healthz" || fail "entry-$i"; done
set_profile 1 quote '{"maxWaitMs": 20000, "mayRunTwice": true, "whenShort": "wait"}'
for i in 1 2 3; do wait_ready $i; done

cat >"$out/plan.json" <<'JSON'
{"rate": 60, "seconds": 12, "kinds": [
  {"name": "quote", "service": "desk", "profile": "quote", "workMs": 100, "retry": true, "bodyBytes": 1000}]}
JSON
"$build/cicada-call" --entry "$(entry 1)" --entry "$(entry 2)" --entry "$(entry 3)" --load "$out/plan.json" \
    --verify-echo --record "$out/record" >"$out/table" &
load=$!

# An upstream: planned at one entry, in force at all, also through an outage of the store right after.
sleep 2
http -X POST -d '{"kind": "back-end", "target": "desk-khulna-a-1"}' "http://$(entry 1)/v1/stops" >"$out/stop"
grep -q '"id"' "$out/stop" || fail "the stop was not planned: $(cat "$out/stop")"
control "$platform" "down=1"
sleep 3
control "127.0.0.1:$((base + 301))" "leaving=1"
no_run_left() { [ "$(field inUse "$(http "http://127.0.0.1:$((base + 301))/control")")" = 0 ]; }
wait_for 5 no_run_left || fail "the leaving executor does not drain"
control "$platform" "down=0"

# An entry, by its signal.
kill -TERM "$pid_entry_2"
wait_end 20 "$pid_entry_2" || fail "entry-2 did not stop cleanly"

# Another, by the operators' interface.
http -X POST -d '{"kind": "entry", "target": "entry-3"}' "http://$(entry 1)/v1/stops" | grep -q '"id"' || fail "plan"
wait_end 20 "$pid_entry_3" || fail "entry-3 did not stop cleanly"

wait_end 60 "$load" || fail "a caller got another's answer"
cat "$out/table"
judge_executors
[ "$after_leaving" = 0 ] || fail "$after_leaving runs were started on a leaving executor"
[ "$doubled" = 0 ] || fail "$doubled ids ran twice"
[ "$overfull" = 0 ] || fail "$overfull starts beyond the slots"
cut=$(awk '$7 > 0' "$out/record" | wc -l)
[ "$cut" = 0 ] || fail "$cut requests were cut off"
not_ran=$(awk '$3 != "ran"' "$out/record" | wc -l)
[ "$not_ran" = 0 ] || fail "$not_ran requests did not run"
echo "planned stops: ok"
