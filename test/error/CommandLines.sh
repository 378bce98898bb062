#!/usr/bin/env bash
# Every program answers --help and --version, and refuses a wrong command line or settings with exit code 2 and a
# message that names the remedy.
source "$(dirname "$0")/../standin/Cluster.sh"

# expect CODE PATTERN COMMAND...: the exit code, and a pattern in what is printed.
expect() {
    local want=$1 pattern=$2 got
    shift 2
    timeout 20 "$@" >"$out/printed" 2>&1
    got=$?
    [ $got = "$want" ] || fail "wanted exit code $want, got $got: $*: $(cat "$out/printed")"
    grep -q -e "$pattern" "$out/printed" || fail "no '$pattern' in: $(cat "$out/printed")"
}

for program in cicada-entry cicadactl cicada-call; do
    expect 0 'Usage:' "$build/$program" --help
    expect 0 "^$program [0-9]" "$build/$program" --version
    expect 2 'Usage:' "$build/$program"
    expect 2 'Usage:' "$build/$program" --no-such-option
done
expect 0 '"properties"' "$build/cicada-entry" --print-schema
expect 2 'permissions' "$build/cicada-entry" --settings "$out/none.json"
echo '{"name": 7}' >"$out/wrong.json"
expect 2 'schema' "$build/cicada-entry" --settings "$out/wrong.json" --check
for file in "$(dirname "$0")"/../../apps/*/entry-*.json; do
    expect 0 ': ok' "$build/cicada-entry" --settings "$file" --check
done

# An address that can't be bound.
start_platform
cat >"$out/taken.json" <<JSON
{"name": "a", "region": "r", "failureDomain": "r", "callers": "$platform", "peers": "127.0.0.1:$((base + 201))",
 "store": "$platform", "vmList": "$platform"}
JSON
expect 2 "'callers'.*can't be bound" "$build/cicada-entry" --settings "$out/taken.json"

expect 2 'IPv4' "$build/cicadactl" --entry localhost:1 status
expect 1 "can't be reached" "$build/cicadactl" --entry 127.0.0.1:1 status
expect 1 "no answer" "$build/cicada-call" --entry 127.0.0.1:1 --service s --profile p
expect 2 '--rate' "$build/cicada-call" --load x --rate none
echo '{"kinds": []}' >"$out/plan.json"
expect 2 'load plan' "$build/cicada-call" --load "$out/plan.json"
echo "command lines: ok"
