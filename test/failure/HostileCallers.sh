#!/usr/bin/env bash
# Callers outside the limits of the API make a process keep bytes: trailers without end, many unfinished bodies, pipelined
# requests whose responses are never read. The process has to live, stay within the memory of its machine and its
# descriptors, and answer an ordinary request afterwards. Prints its own verdict.
set -u
build=$1
work=$(mktemp -d)
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null; rm -rf "$work"' EXIT
fail() { echo "FAILED: $1"; tail -n 15 "$work"/*.log; exit 1; }
base=$((27000 + $$ % 15 * 60))
callers=$((base + 40))
# The machine of this test, in MiB; the process has to stay below it whatever callers send.
memory=64
descriptors=1000
job='{"spec":"text","steps":[{"count":1,"cpu":500,"memMb":100,"estimateMs":300}]}'
await() { # seconds, what, command: until it succeeds
    for _ in $(seq $(($1 * 10))); do eval "$3" && return; sleep 0.1; done
    fail "$2"
}
ready() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((callers + 1))/")" = 200 ]; }
start() {
    cat > "$work/entry.json" <<JSON
{"name":"e","region":"r","failureDomain":"z","callers":"127.0.0.1:$callers","readiness":"127.0.0.1:$((callers + 1))",
"peers":"127.0.0.1:$((callers + 2))","metrics":"127.0.0.1:$((callers + 3))","store":"127.0.0.1:$base","advisor":"127.0.0.1:$((base + 1))",
"processorShare":0.25,"processorSpeed":1,"descriptors":$descriptors,"memoryMiB":$memory,
"bounds":{"maxLeaseMs":6000,"endedRetentionS":120,"plannedStopS":6}}
JSON
    "$build/cicada-node" --settings "$work/entry.json" >> "$work/entry.log" 2>&1 &
    entry=$!
    pids+=($!)
    await 20 "the entry gets ready" ready
}
check() { # form: the process lives within its memory and descriptors, and an ordinary request is answered
    kill -0 "$entry" 2>/dev/null || fail "$1: the process ended"
    peak=$(($(awk '/VmHWM/ {print $2}' "/proc/$entry/status") / 1024))
    open=$(ls "/proc/$entry/fd" | wc -l)
    echo "$1: peak memory $peak MiB, $open descriptors open"
    [ "$peak" -lt $memory ] || fail "$1: the process took $peak MiB of $memory"
    [ "$open" -le $descriptors ] || fail "$1: $open descriptors are open of $descriptors"
    for fd in "${held[@]}"; do exec {fd}>&-; done
    held=()
    status=$(curl -s -m 20 -X POST -H 'Host: a.example' -d "$job" -o "$work/answer" -w '%{http_code}' \
        "http://127.0.0.1:$callers/jobs/0123456789abcdef")
    [ "$status" = 200 ] || fail "$1: an ordinary request got status $status"
    kill -9 "$entry"
    wait "$entry" 2>/dev/null
}
connect() { # opens a connection and keeps it in $fd
    exec {fd}<> "/dev/tcp/127.0.0.1/$callers" || fail "no connection"
    held+=("$fd")
}
# A write fails or stops where the process closes the connection or no longer reads it.
send() { timeout 10 cat >&"$fd" 2>/dev/null; }
trap '' PIPE
held=()

"$build/fake-grid" "$base" > "$work/grid.log" 2>&1 &
pids+=($!)

start
senders=()
for _ in $(seq 8); do
    connect
    { printf 'POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n'
      yes $'X-Trailer: 0123456789012345678901234567890123456789\r' | head -c 20000000; } 2>/dev/null | send &
    senders+=($!)
done
wait "${senders[@]}"
check "trailers without end"

start
for _ in $(seq 320); do
    connect
    { printf 'POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: a.example\r\nContent-Length: 250000\r\n\r\n'; head -c 249000 /dev/zero; } | send
done
check "unfinished bodies"

start
senders=()
for _ in $(seq 8); do
    connect
    yes $'GET /jobs/0123456789abcdef HTTP/1.1\r\nHost: a.example\r\nX-Field: 0123456789012345678901234567890123456789\r\n\r' | head -c 20000000 | send &
    senders+=($!)
done
wait "${senders[@]}"
check "responses that are never read"

start
senders=()
for _ in $(seq 8); do
    connect
    { printf 'POST /jobs/0123456789abcdef HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n1;x='
      head -c 20000000 /dev/zero | tr '\0' 'a'; } 2>/dev/null | send &
    senders+=($!)
done
wait "${senders[@]}"
check "a chunk extension without end"

start
senders=()
for _ in $(seq 8); do
    connect
    { printf 'GET /none/0123456789abcdef HTTP/1.1\r\nX-Field: '; head -c 20000000 /dev/zero | tr '\0' 'a'; } 2>/dev/null | send &
    senders+=($!)
done
wait "${senders[@]}"
check "a header without end"
echo "The process lived within its limits."
