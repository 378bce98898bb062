#!/usr/bin/env bash
# Jobs on workers through real processes: an entry is killed with tasks running, all jobs finish, no task runs in two
# places at once, and no worker is given more than it holds.
source "$(dirname "$0")/../standin/Cluster.sh"

jobs=${CICADA_JOBS:-40}
workers=$((base + 400))
regions=(khulna-a nadia-a howrah-a)

# Twelve workers in three racks, one rack a region.
run workers "$build/fake-worker" --listen 127.0.0.1:$workers --count 12 --cpu-millis 8000 --memory-mib 16384
for ((i = 0; i < 12; i++)); do
    region=${regions[$((i % 3))]}
    echo "{\"name\":\"worker-$i\",\"kind\":\"worker\",\"region\":\"$region\",\"failureDomain\":\"$region\",\"state\":\"live\",
        \"rack\":\"rack-$((i % 3))\",\"address\":\"127.0.0.1:$((workers + i))\",\"cpuMillis\":8000,\"memoryMiB\":16384}"
done >"$out/worker-lines"
{ echo '['; sed -e 's/^{/,{/' "$out/worker-lines" | sed '1s/^,//'; echo ']'; } >"$out/vms.json"
wait_for 10 http -f "http://127.0.0.1:$workers/control" || fail "workers"

start_platform
for n in 1 2 3; do start_entry $n "${regions[$((n - 1))]}"; done
for n in 1 2 3; do wait_for 10 http -f "http://$(entry $n)/healthz" || fail "entry $n"; done
set_profile 1 batch '{"maxWaitMs": 60000, "mayRunTwice": true, "whenShort": "wait"}'
set_profile 1 cutting '{"maxWaitMs": 60000, "mayRunTwice": false, "whenShort": "wait"}'
for n in 1 2 3; do wait_ready $n; done

control() { http "http://127.0.0.1:$workers/control"; }
field() { control | sed -n "s/.*\"$1\":\([0-9.]*\).*/\1/p"; }
is() { [ "$(field "$1")" = "$2" ]; }
job_id() { printf '%s-0000-4000-8000-%012d' "$1" "$2"; }
state() { http "http://$(entry "$1")/v1/jobs/$2" | sed -n 's/.*"state":"\([a-z]*\)","tasks".*/\1/p'; }
# submit STATUS ENTRY ID JSON: submits and checks the status.
submit() {
    local got
    got=$(http -o "$out/reply" -w '%{http_code}' -X POST -H "Idempotency-Key: $3" --data "$4" \
        "http://$(entry "$2")/v1/jobs")
    [ "$got" = "$1" ] || fail "job $3 at entry $2: wanted $1, got $got: $(cat "$out/reply")"
}
task() { echo "{\"cpuMillis\":$1,\"memoryMiB\":512,\"command\":\"work-ms=$2\",\"count\":$3}"; }

submit 400 1 "$(job_id 11111111 0)" "{\"profile\":\"batch\",\"tasks\":[$(task 9000 1 1)]}"
grep -q 'largest worker' "$out/reply" || fail "the largest worker is not named"
submit 400 1 "$(job_id 11111111 1)" '{"tasks":[]}'
submit 400 1 no-uuid "{\"profile\":\"batch\",\"tasks\":[$(task 100 1 1)]}"

# Half of the jobs before an entry dies with tasks running, half after.
profiles=(cutting batch batch batch)
gangs=(false true false)
for ((i = 0; i < jobs; i++)); do
    if [ $i -eq $((jobs / 2)) ]; then
        sleep 1
        is running 0 && fail "nothing runs when the entry dies"
        kill -9 "$pid_entry_2"
        # Where ownership is only computed from the list of members, the dead one has to be taken off it.
        sleep 6
        if http "http://$(entry 1)/v1/status" | grep -q '"owner":"entry-2"'; then
            http -X DELETE "http://$platform/v1/kv/cicada/config/members/entry-2" >/dev/null
        fi
    fi
    at=$((i < jobs / 2 ? i % 3 + 1 : i % 2 * 2 + 1))
    submit 202 $at "$(job_id 00000000 $i)" "{\"profile\":\"${profiles[$((i % 4))]}\",\"gang\":${gangs[$((i % 3))]},
        \"tasks\":[$(task 1500 1500 4)]}"
done
all_end() {
    local i
    for ((i = 0; i < jobs; i++)); do
        [[ "$(state 1 "$(job_id 00000000 $i)")" =~ ^(finished|unknown)$ ]] || return 1
    done
}
wait_for 90 all_end || fail "jobs do not end: $(for ((i = 0; i < jobs; i++)); do
    http "http://$(entry 1)/v1/jobs/$(job_id 00000000 $i)" | cut -c1-200; done | grep -v '"finished"')"
for ((i = 0; i < jobs; i++)); do echo "$(state 1 "$(job_id 00000000 $i)")"; done | sort | uniq -c
control
echo
for ((i = 0; i < jobs; i++)); do
    # Workers live on, so that even what must not run twice is known to the successor.
    [ "$(state 1 "$(job_id 00000000 $i)")" = finished ] || fail "job $i: $(state 1 "$(job_id 00000000 $i)")"
done
is overlapping 0 || fail "a task ran in two places at once"
is overfull 0 || fail "a worker was given more than it holds"
is running 0 || fail "something still runs"

# A wave of cancellations frees what the jobs hold.
for ((i = 0; i < 10; i++)); do
    submit 202 1 "$(job_id 22222222 $i)" "{\"profile\":\"cutting\",\"tasks\":[$(task 8000 600000 1)]}"
done
wait_for 10 is running 10 || fail "10 jobs run: $(control)"
for ((i = 0; i < 10; i++)); do
    http -f -X DELETE "http://$(entry 3)/v1/jobs/$(job_id 22222222 $i)" >"$out/reply" || fail "cancel: $(cat "$out/reply")"
done
wait_for 10 is running 0 || fail "cancelled work still runs"
echo "workers: ok"
