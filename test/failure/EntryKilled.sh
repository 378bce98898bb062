#!/usr/bin/env bash
# Of three entries one is killed and one paused past its promise, under load: the back ends of either get work again
# within 5 s, and no executor is ever given more than its slots hold or work under an epoch that it has left behind.
source "$(dirname "$0")/../standin/Cluster.sh"

executors=6
slots=4
takeover_seconds=5
start_platform
start_executors desk khulna-a $executors $slots $((base + 300))
for n in 1 2 3; do start_entry $n khulna-a "domain-$n"; done
for n in 1 2 3; do wait_for 10 http -f "http://$(entry $n)/healthz"; done
set_profile 1 check '{"maxWaitMs": 20000, "mayRunTwice": true, "whenShort": "wait"}'
for n in 1 2 3; do wait_ready $n; done

status() { http "http://$(entry "$1")/v1/status"; }
# owned_by ENTRY: how many of the executors it may give work to.
owned_by() { status "$1" | grep -o '"epoch":[1-9][0-9]*,"inUse"' | wc -l; }
owned_by_any() {
    local n sum=0
    for n in "$@"; do sum=$((sum + $(owned_by "$n"))); done
    echo $sum
}
all_owned_by() { [ "$(owned_by_any "$@")" = $executors ]; }
counts() {
    local i
    for ((i = 0; i < executors; i++)); do http "http://127.0.0.1:$((base + 300 + i))/control"; echo; done
}
# field NAME: the largest value of that count over all executors.
field() { counts | grep -o "\"$1\":[0-9]*" | cut -d: -f2 | sort -n | tail -1; }

each_owns() {
    local n
    for n in "$@"; do [ "$(owned_by "$n")" -gt 0 ] || return 1; done
    all_owned_by "$@"
}
wait_for 10 each_owns 1 2 3 || fail "at the start not each entry owns its share: $(status 1)"

# Load at the entry that survives, until the file goes away.
touch "$out/load"
load() {
    while [ -e "$out/load" ]; do
        http -o /dev/null -H 'Cicada-Profile: check' --data-binary 'work-ms=40' \
            "http://$(entry 1)/v1/services/desk/requests"
    done
}
for _ in 1 2 3 4 5 6 7 8; do load & pids+=($!); done

millis() { date +%s%3N; }
begin=$(millis)
kill -9 "$pid_entry_3"
wait_for $takeover_seconds all_owned_by 1 2 || fail "after kill -9 not all is owned within $takeover_seconds s"
echo "after kill -9 all owned again in $(($(millis) - begin)) ms"

wait_for 10 each_owns 1 2 || fail "after kill -9 not each entry owns its share"
begin=$(millis)
kill -STOP "$pid_entry_2"
wait_for $takeover_seconds all_owned_by 1 || fail "after SIGSTOP not all is owned within $takeover_seconds s"
echo "after SIGSTOP all owned again in $(($(millis) - begin)) ms"
sleep 1
kill -CONT "$pid_entry_2"
wait_for 10 each_owns 1 2 || fail "after SIGCONT not all is owned"
[ "$(owned_by 1)" -le $executors ] || fail "more owned than there is"
sleep 2

rm "$out/load"
echo "most slots in use $(field maxInUse) of $slots, overfull $(field overfull), under an old epoch $(field oldEpoch)"
[ "$(field maxInUse)" -le $slots ] || fail "a slot was used twice: $(counts)"
[ "$(field overfull)" = 0 ] || fail "an executor was given more than its slots hold: $(counts)"
[ "$(field oldEpoch)" = 0 ] || fail "work came under an old epoch: $(counts)"
for ((i = 0; i < executors; i++)); do
    http "http://127.0.0.1:$((base + 300 + i))/control" | grep -q '"runs":0' && fail "executor $i got no work"
done
echo "entry killed: ok"
