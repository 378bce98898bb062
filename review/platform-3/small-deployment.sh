# Sourced by the scripts of the cases: three entries of a small deployment with the command of the deploy file, and the
# stand-in of the platform, on loopback ports. The caller sets `case_folder`; `record.txt` there gets what was sent,
# answered and run. Everything that was started is ended on exit.
set -u
root=$(cd "$case_folder/../.." && pwd)
trouble=${TROUBLE:-1}
record=$case_folder/record.txt
work=$(mktemp -d)
pids=()
declare -A entry
base=$(python3 "$root/review/platform-3/free_ports.py" 170)
memory_mb=260
daemon=$root/target/cicada-node
standin=$root/review/platform-3/platform_standin.py
: > "$record"

end_all() {
    local pid
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap end_all EXIT
note() { echo "$(date +%H:%M:%S.%3N) $*" >> "$record"; }
cannot_run() { note "CAN'T RUN: $1"; echo "can't run: $1"; exit 2; }
verdict() { # status, text
    { echo; echo "store and executors:"; tail -n 5000 "$work/platform.log"; } >> "$record"
    note "$2"
    echo "$2"
    exit "$1"
}

start_platform() { # options of the stand-in; another script may take the same free ports at that moment
    local attempt platform
    for attempt in 1 2 3 4 5; do
        python3 "$standin" --port "$base" "$@" > "$work/platform.log" 2>&1 &
        platform=$!
        pids+=("$platform")
        disown
        for _ in $(seq 100); do
            grep -q listening "$work/platform.log" && return
            kill -0 "$platform" 2>/dev/null || break
            sleep 0.1
        done
        base=$(python3 "$root/review/platform-3/free_ports.py" 170)
    done
    cannot_run "the stand-in of the platform doesn't listen"
}
start_entry() { # number
    local port=$((base + 150 + $1 * 5))
    cat > "$work/settings$1.json" <<JSON
{"name":"front-$1","region":"region-$1","failureDomain":"zone-$1","callers":"127.0.0.1:$port",
"readiness":"127.0.0.1:$((port + 1))","peers":"127.0.0.1:$((port + 2))","metrics":"127.0.0.1:$((port + 3))",
"store":"127.0.0.1:$base","processorShare":0.25,"processorSpeed":1,"descriptors":4100,"memoryMiB":$memory_mb,
"bounds":{"maxLeaseMs":6000,"endedRetentionS":120,"plannedStopS":6}}
JSON
    (cd "$root" && CICADASPREAD_NODE_FILE="$work/settings$1.json" exec target/cicada-node) >> "$work/entry$1.log" 2>&1 &
    entry[$1]=$!
    pids+=($!)
    disown
}
is_ready() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((base + 151 + $1 * 5))/cicadaspread/ready")" = 200 ]; }
start_deployment() { # options of the stand-in
    [ -x "$daemon" ] || cannot_run "target/cicada-node isn't built"
    start_platform "$@"
    local number
    for number in 0 1 2; do start_entry $number; done
    for number in 0 1 2; do
        for _ in $(seq 150); do is_ready $number && continue 2; sleep 0.1; done
        cannot_run "entry $number doesn't get ready"
    done
}
# call ENTRY METHOD PATH [BODY]: sets `status` (000 without an answer) and `answer`; the client waits 3 s.
call() {
    : > "$work/answer"
    status=$(curl -s -m 3 -o "$work/answer" -w '%{http_code}' -X "$2" -H 'Host: a.example' -H 'Content-Type: application/json' \
        -H 'Cicadaspread-Deadline-Ms: 3000' ${4:+-d "$4"} "http://127.0.0.1:$((base + 150 + $1 * 5))$3")
    answer=$(cat "$work/answer")
    note "entry $1: $2 $3 ${4:+$(echo "$4" | cut -c1-150)} -> $status $(echo "$answer" | cut -c1-100)"
}
