#!/usr/bin/env bash
# The daemon of the users' platform as processes, against a stand-in of that platform: a job from its hand-in to its end,
# one id at two entries at once, an owner that is killed, wrong requests, a planned stop. Prints its own verdict.
set -u
build=$1
work=$(mktemp -d)
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null; rm -rf "$work"' EXIT
fail() { echo "FAILED: $1"; tail -n 25 "$work"/*.log; exit 1; }
base=$((26000 + $$ % 60 * 50))

"$build/fake-grid" "$base" > "$work/grid.log" 2>&1 &
pids+=($!)
start() { # number of the entry
    local p=$((base + 10 + $1 * 5))
    cat > "$work/e$1.json" <<JSON
{"name":"e$1","region":"r","failureDomain":"z","callers":"127.0.0.1:$p","readiness":"127.0.0.1:$((p + 1))",
"peers":"127.0.0.1:$((p + 2))","metrics":"127.0.0.1:$((p + 3))","store":"127.0.0.1:$base","advisor":"127.0.0.1:$((base + 1))",
"processorShare":0.25,"processorSpeed":1,
"bounds":{"maxLeaseMs":6000,"endedRetentionS":120,"plannedStopS":6}}
JSON
    "$build/cicada-node" --settings "$work/e$1.json" >> "$work/e$1.log" 2>&1 &
    entry[$1]=$!
    pids+=($!)
}
call() { # entry method path [body]: prints the status and the body
    curl -s -m 8 -o "$work/body" -w '%{http_code} ' -X "$2" -H 'Host: a.example' ${4:+-d "$4"} \
        "http://127.0.0.1:$((base + 10 + $1 * 5))$3"
    cat "$work/body" 2>/dev/null; : > "$work/body"
}
await() { # seconds, what, command: until it succeeds
    for _ in $(seq $(($1 * 10))); do eval "$3" && return; sleep 0.1; done
    fail "$2"
}
declare -A entry
for i in 0 1 2; do start $i; done
await 15 "entries get ready" '[ "$(curl -s -m 2 -o /dev/null -w "%{http_code}" http://127.0.0.1:$((base + 11)))" = 200 ]'
job='{"spec":"text","steps":[{"count":4,"cpu":500,"memMb":100,"estimateMs":300},{"count":2,"cpu":500,"memMb":100,"estimateMs":300,"after":[0]}]}'

call 0 POST /jobs/00000000000000a1 "$job" > "$work/first" & one=$!
curl -s -m 8 -o /dev/null -w '%{http_code}' -X POST -H 'Host: a.example' -d "$job" "http://127.0.0.1:$((base + 15))/jobs/00000000000000a1" > "$work/second"
wait $one
grep -q '^200' "$work/first" && grep -q '^200' "$work/second" || fail "one id at two entries is accepted at both"
await 15 "the job is completed" 'call 2 GET /jobs/00000000000000a1 | grep -q completed'
[ "$(grep -c '^start 00000000000000a1' "$work/grid.log")" = 6 ] || fail "each task started once"

[ "$(call 0 GET /jobs/00000000000000ff | cut -c1-3)" = 410 ] || fail "an unknown job is gone"
[ "$(call 0 POST /jobs/00000000000000a2 '{"steps":' | cut -c1-3)" = 400 ] || fail "broken JSON is refused"
[ "$(call 0 POST /jobs/short "$job" | cut -c1-3)" = 400 ] || fail "an id of another form is refused"
[ "$(call 0 POST /other/00000000000000a2 "$job" | cut -c1-3)" = 404 ] || fail "an unknown queue is not found"
[ "$(call 0 PUT /jobs/00000000000000a2 "$job" | cut -c1-3)" = 405 ] || fail "an unknown method is refused"
printf 'POST /jobs/00000000000000a3 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 100\r\n\r\nhalf' > "/dev/tcp/127.0.0.1/$((base + 10))"
call 1 GET /jobs/ | grep -q '"pending":0' || fail "no job is pending"

owner=$(grep -h -o 'event=cell-taken' -l "$work"/e*.log | head -1 | sed 's/.*e\([0-9]\).log/\1/')
other=$(((owner + 1) % 3))
call $other POST /jobs/00000000000000b1 "$job" | grep -q '^200' || fail "a job before the kill"
kill -9 "${entry[$owner]}"
await 10 "a job is taken after the owner's death" 'call $other POST /jobs/00000000000000b2 "$job" | grep -q "^200"'
for id in 00000000000000b1 00000000000000b2; do
    await 20 "job $id is completed under the next owner" "call $other GET /jobs/$id | grep -q completed"
done
grep '^start' "$work/grid.log" | awk '{print $2}' | sort | uniq -c | awk '$1 > 2 {exit 1}' || fail "a task started again and again"

call $other POST /jobs/00000000000000c1 "$job" | grep -q '^200' || fail "a job to cancel"
call $other DELETE /jobs/00000000000000c1 | grep -q '^200' || fail "a cancel"
await 5 "the job is cancelled" 'call $other GET /jobs/00000000000000c1 | grep -q cancelled'
curl -s -m 2 "http://127.0.0.1:$((base + 13 + other * 5))/metrics" | grep -q cicada_gateway_requests || fail "metrics are served"

last=$(((owner + 2) % 3))
kill -TERM "${entry[$last]}"
await 10 "a planned stop ends" "! kill -0 ${entry[$last]} 2>/dev/null"
grep -q event=stopped "$work/e$last.log" || fail "the stop is logged"
call $other POST /jobs/00000000000000d1 "$job" | grep -q '^200' || fail "a job after the planned stop"
await 15 "it is completed" 'call $other GET /jobs/00000000000000d1 | grep -q completed'
echo "passed"
