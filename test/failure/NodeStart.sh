#!/usr/bin/env bash
# The daemon's first moments and scarce descriptors: signals before it handles them, a port that is in use, a settings file that
# changes without a signal, more connections than descriptors. Prints its own verdict.
set -u
build=$1
work=$(mktemp -d)
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null; rm -rf "$work"' EXIT
fail() { echo "FAILED: $1"; tail -n 25 "$work"/*.log; exit 1; }
base=$((25000 + $$ % 15 * 60))
await() { # seconds, what, command: until it succeeds
    for _ in $(seq $(($1 * 10))); do eval "$3" && return; sleep 0.1; done
    fail "$2"
}
settings() { # number of the entry, first port, maximum lease
    cat <<JSON
{"name":"e$1","region":"r","failureDomain":"z","callers":"127.0.0.1:$2","readiness":"127.0.0.1:$(($2 + 1))",
"peers":"127.0.0.1:$(($2 + 2))","metrics":"127.0.0.1:$(($2 + 3))","store":"127.0.0.1:$base","advisor":"127.0.0.1:$((base + 1))",
"processorShare":0.25,"processorSpeed":1,"bounds":{"maxLeaseMs":$3,"endedRetentionS":120,"plannedStopS":6}}
JSON
}
start() { # number of the entry
    "$build/cicada-node" --settings "$work/e$1.json" >> "$work/e$1.log" 2>&1 &
    entry=$!
    pids+=($!)
}
ready() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$1/cicadaspread/ready")" = 200 ]; }
logged() { grep -q "$2" "$work/e$1.log"; }

"$build/fake-grid" "$base" > "$work/grid.log" 2>&1 &
pids+=($!)

# The settings come through a pipe, so that the process waits in its start until they are written.
for signal in TERM HUP; do
    mkfifo "$work/e0.json"
    ln "$work/e0.json" "$work/pipe"
    : > "$work/e0.log"
    start 0
    sleep 0.3
    kill -s $signal "$entry"
    sleep 0.1
    kill -0 "$entry" 2>/dev/null || fail "SIG$signal ended the process before it was ready for signals"
    rm "$work/e0.json"
    settings 0 $((base + 40)) 6000 > "$work/e0.json"
    settings 0 $((base + 40)) 6000 > "$work/pipe"
    rm "$work/pipe"
    [ $signal = HUP ] && { await 5 "an early SIGHUP reloads" 'logged 0 event=reloaded'; kill -TERM "$entry"; }
    await 10 "an early SIG$signal is handled" "logged 0 event=stopped"
    wait "$entry" || fail "a planned stop ends with $?"
    rm "$work/e0.json"
done

# Another process has the callers' port for a while.
settings 1 $((base + 45)) 6000 > "$work/e1.json"
start 1
first=$entry
await 15 "the first entry gets ready" "ready $((base + 46))"
settings 2 $((base + 50)) 6000 | sed "s/\"callers\":\"127.0.0.1:[0-9]*\"/\"callers\":\"127.0.0.1:$((base + 45))\"/" > "$work/e2.json"
start 2
sleep 1
kill -0 "$entry" 2>/dev/null || fail "the process ended as its port was in use"
ready $((base + 51)) && fail "an entry is ready though it has no port for callers"
kill -9 "$first"
await 15 "the second entry gets ready once the port is free" "ready $((base + 51))"

# The settings change without a signal.
settings 2 $((base + 50)) 5000 > "$work/new.json"
mv "$work/new.json" "$work/e2.json"
await 5 "changed settings are read" 'logged 2 "event=reloaded maxLeaseMs=5000"'
kill -9 "$entry"

# More idle connections than there are descriptors.
settings 3 $((base + 55)) 6000 > "$work/e3.json"
ulimit -S -n 64
start 3
ulimit -S -n "$(ulimit -H -n)"
await 15 "the entry with few descriptors gets ready" "ready $((base + 56))"
held=()
for _ in $(seq 90); do
    exec {fd}<> "/dev/tcp/127.0.0.1/$((base + 55))" && held+=("$fd")
done
ticks() { awk '{print $14 + $15}' "/proc/$entry/stat"; }
before=$(ticks)
sleep 2
used=$(($(ticks) - before))
[ "$used" -lt 40 ] || fail "$used hundredths of a second of processor time in 2 s beside idle connections"
ready $((base + 56)) || fail "no readiness beside idle connections"
status=$(curl -s -m 4 -o /dev/null -w '%{http_code}' -H 'Host: a.example' "http://127.0.0.1:$((base + 55))/jobs/00000000000000ff")
[ "$status" = 410 ] || fail "a caller beside idle connections got $status"
echo "passed"
