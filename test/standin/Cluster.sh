# Sourced by the tests that drive real processes: starts stand-ins and entries on loopback and stops them again.
# Every process is ended by its id when the test ends, however it ends.

set -u
build=$1
out=$(mktemp -d)
pids=()
executor_ports=()
broken=
base=${CICADA_BASE_PORT:-21000}

stop_all() {
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -9 "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$out"
}
trap stop_all EXIT

# run NAME COMMAND...: starts a process in the background; its id is in pid_NAME, its output in $out/NAME.log.
run() {
    local name=$1
    shift
    "$@" >"$out/$name.log" 2>&1 &
    pids+=($!)
    printf -v "pid_${name//-/_}" %s $!
}

# wait_for SECONDS COMMAND...: waits until the command succeeds.
wait_for() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $deadline ] || { echo "timed out: $*"; return 1; }
        sleep 0.05
    done
}

http() { curl -s --max-time 30 "$@"; }

fail() {
    echo "FAILED: $*"
    tail -n 20 "$out"/*.log
    exit 1
}

# start_platform: the store and the VM list, at $platform; the list is read from $out/vms.json.
start_platform() {
    platform=127.0.0.1:$base
    [ -e "$out/vms.json" ] || echo '[]' >"$out/vms.json"
    run platform "$build/fake-platform" --listen $platform --vms "$out/vms.json"
    wait_for 10 http -f http://$platform/control || fail "platform"
}

# start_executors SERVICE REGION COUNT SLOTS FIRST-PORT: adds executors, also to the VM list.
start_executors() {
    local service=$1 region=$2 count=$3 slots=$4 port=$5 i
    run "executors-$service-$region" "$build/fake-executor" --listen 127.0.0.1:"$port" --count "$count" \
        --slots "$slots" --prefix "$service-$region"
    for ((i = 0; i < count; i++)); do
        executor_ports+=($((port + i)))
        echo "{\"name\":\"$service-$region-$i\",\"kind\":\"executor\",\"service\":\"$service\",\"region\":\"$region\",
            \"failureDomain\":\"$region\",\"address\":\"127.0.0.1:$((port + i))\",\"slots\":$slots,\"state\":\"live\"}"
    done >>"$out/vm-lines"
    { echo '['; sed -e 's/^{/,{/' "$out/vm-lines" | sed '1s/^,//'; echo ']'; } >"$out/vms.tmp"
    mv "$out/vms.tmp" "$out/vms.json"
    wait_for 10 http -f "http://127.0.0.1:$port/control" || fail "executors"
}

# start_entry N REGION [DOMAIN [MORE-SETTINGS]]: starts entry-N; callers reach it at 127.0.0.1:$((base + 100 + N)).
start_entry() {
    local n=$1 region=$2 domain=${3:-$2} more=${4:-}
    cat >"$out/entry-$n.json" <<JSON
{"name": "entry-$n", "region": "$region", "failureDomain": "$domain", "callers": "127.0.0.1:$((base + 100 + n))",
 "peers": "127.0.0.1:$((base + 200 + n))", "store": "${entry_store:-$platform}", "vmList": "$platform",
 "spanOutput": "$out/spans-$n.jsonl"$more}
JSON
    run "entry-$n" "$build/cicada-entry" --settings "$out/entry-$n.json"
}

entry() { echo "127.0.0.1:$((base + 100 + $1))"; }

wait_ready() { wait_for "${2:-15}" http -f "http://$(entry "$1")/readyz" || fail "entry-$1 is not ready"; }

# set_profile ENTRY NAME JSON
set_profile() { echo "$3" | "$build/cicadactl" --entry "$(entry "$1")" profile set "$2" - >/dev/null || fail "profile $2"; }

# judge_executors: sums up all executors into most_in_use, overfull, doubled, old_epoch, after_leaving and runs.
judge_executors() {
    local port reply
    most_in_use=0 overfull=0 doubled=0 old_epoch=0 after_leaving=0 runs=0
    for port in "${executor_ports[@]}"; do
        reply=$(http "http://127.0.0.1:$port/control")
        local most
        most=$(field maxInUse "$reply")
        [ "$most" -gt "$most_in_use" ] && most_in_use=$most
        overfull=$((overfull + $(field overfull "$reply")))
        doubled=$((doubled + $(field doubled "$reply")))
        old_epoch=$((old_epoch + $(field oldEpoch "$reply")))
        after_leaving=$((after_leaving + $(field afterLeaving "$reply")))
        runs=$((runs + $(field runs "$reply")))
    done
}

# field NAME JSON: a number in a flat JSON object.
field() { sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p" <<<"$2"; }

# ran_ids: every id that any executor started.
ran_ids() {
    local port
    for port in "${executor_ports[@]}"; do http "http://127.0.0.1:$port/started"; done | sort -u
}

# count_not_run_that_ran RECORD...: ids that callers were told had not run, and that an executor started.
count_not_run_that_ran() {
    ran_ids >"$out/ran-ids"
    cat "$@" | awk '$3 == "not-run" {print $2}' | sort -u | comm -12 - "$out/ran-ids" | wc -l
}

# wait_end SECONDS PID: waits until the process has ended by itself, and gives its exit code.
wait_end() {
    ended() { ! kill -0 "$1" 2>/dev/null; }
    wait_for "$1" ended "$2" || return 99
    wait "$2"
}

# control HOST:PORT SWITCHES: sets switches of a stand-in, as in "down=1&slowMs=20". A PUT needs a body, if an empty one.
control() { http -f -X PUT -d '' "http://$1/control?$2" >/dev/null || fail "control $1 $2"; }
