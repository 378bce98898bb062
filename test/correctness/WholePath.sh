#!/usr/bin/env bash
# A request goes in at any entry and its own answer comes back whole, through real processes.
source "$(dirname "$0")/../standin/Cluster.sh"

start_platform
start_executors desk khulna-a 2 8 $((base + 300))
start_entry 1 khulna-a
start_entry 2 khulna-a
wait_for 10 http -f "http://$(entry 1)/healthz"
wait_for 10 http -f "http://$(entry 2)/healthz"
set_profile 1 check '{"maxWaitMs": 2000, "mayRunTwice": true, "whenShort": "shed"}'
wait_ready 1
wait_ready 2

# Its own answer, at each entry, with bytes that are no text.
head -c 100000 /dev/urandom >"$out/body"
for n in 1 2 1 2; do
    "$build/cicada-call" --entry "$(entry $n)" --service desk --profile check --data @"$out/body" >"$out/answer" ||
        fail "call at entry $n"
    cmp "$out/body" "$out/answer" || fail "another answer at entry $n"
done

# check STATUS CURL-ARGUMENTS...
check() {
    local want=$1 got
    shift
    got=$(http -o "$out/reply" -w '%{http_code}' "$@")
    [ "$got" = "$want" ] || fail "wanted $want, got $got: $* $(cat "$out/reply")"
}
requests="http://$(entry 1)/v1/services/desk/requests"
check 200 -H 'Cicada-Profile: check' --data-binary 'x' "$requests"
check 400 -H 'Cicada-Profile: none' --data-binary 'x' "$requests"
check 400 --data-binary 'x' "$requests"
check 400 -H 'Cicada-Profile: check' -H 'Idempotency-Key: no-uuid' --data-binary 'x' "$requests"
check 404 -H 'Cicada-Profile: check' --data-binary 'x' "http://$(entry 1)/v1/services/none/requests"
head -c $((20 << 20)) /dev/zero >"$out/large"
check 413 -H 'Cicada-Profile: check' --data-binary @"$out/large" "$requests"
check 404 "http://$(entry 1)/nowhere"
check 200 "http://$(entry 1)/metrics"
check 200 "http://$(entry 1)/v1/status"

# The operators' commands.
ctl() { "$build/cicadactl" --entry "$(entry 2)" "$@"; }
ctl profile get check | grep -q '"maxWaitMs": 2000' || fail "profile get"
ctl profile list | grep -q '^check ' || fail "profile list"
ctl status | grep -q '^desk-khulna-a-1 ' || fail "status"
ctl stop plan back-end desk-khulna-a-1 >/dev/null || fail "stop plan"
ctl stop list | grep -q 'desk-khulna-a-1' || fail "stop list"
ctl stop cancel "$(ctl stop list | awk '/desk-khulna-a-1/ {print $1}')" >/dev/null || fail "stop cancel"
ctl stop plan back-end nowhere 2>/dev/null && fail "a stop of a back end that does not exist"

# One request as a tree, by its id.
id=123e4567-e89b-42d3-a456-426614174000
"$build/cicada-call" --entry "$(entry 1)" --service desk --profile check --data x --id $id >/dev/null || fail "call"
traced() { ctl trace $id "$out"/spans-*.jsonl | grep -q 'back-end (entry-1)'; }
wait_for 5 traced || fail "trace"

kill -TERM "$pid_entry_1"
wait_end 20 "$pid_entry_1" || fail "the planned stop"
echo "whole path: ok"
