#!/usr/bin/env bash
# Measured through processes: what the path adds over calling the executors directly, and what idle entries cost.
# Prints tables and writes $build/processes-bench.json. The figures depend on the machine; nothing is asserted.
CICADA_BASE_PORT=${CICADA_BASE_PORT:-29000}
source "$(dirname "$0")/../standin/Cluster.sh"

entries=8
start_platform
start_executors desk khulna-a 50 8 $((base + 300))
cat >"$out/plan.json" <<'JSON'
{"rate": 2000, "seconds": 10, "kinds": [
  {"name": "check", "service": "desk", "profile": "check", "workMs": 10, "bodyBytes": 500}]}
JSON
sed 's/"check"/"tally"/g' "$out/plan.json" >"$out/plan-tally.json"
# Before there are owners: executors refuse starts that carry no owner's epoch.
direct=()
for port in "${executor_ports[@]}"; do direct+=(--entry "127.0.0.1:$port"); done
"$build/cicada-call" "${direct[@]}" --direct --load "$out/plan.json" --seed 1 >"$out/direct.table"
"$build/cicada-call" "${direct[@]}" --direct --load "$out/plan.json" --seed 3 --json >"$out/direct.json"

for ((i = 1; i <= entries; i++)); do start_entry $i khulna-a "khulna-a-$((i % 3))"; done
for ((i = 1; i <= entries; i++)); do wait_for 30 http -f "http://$(entry $i)/healthz" || fail "entry-$i"; done
set_profile 1 check '{"maxWaitMs": 2000, "mayRunTwice": true, "whenShort": "shed", "expectedRunMs": 10}'
set_profile 1 tally '{"maxWaitMs": 2000, "mayRunTwice": false, "whenShort": "wait", "expectedRunMs": 10}'
for ((i = 1; i <= entries; i++)); do wait_ready $i 30; done
sleep 5

# ticks PID: processor time used, in hundredths of a second.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
peer_bytes() { http "http://$(entry "$1")/v1/status" | sed -n 's/.*"peers":{[^}]*"bytes":\([0-9]*\).*/\1/p'; }

echo "Idle entries, $entries of them, over 20 s (targets: 1.8 % of a core, 32 MB, 4 KB/s):"
declare -A before_ticks before_bytes
for ((i = 1; i <= entries; i++)); do
    pid_name=pid_entry_$i
    before_ticks[$i]=$(ticks "${!pid_name}")
    before_bytes[$i]=$(peer_bytes $i)
done
http "http://$platform/control" >"$out/store-before"
sleep 20
idle=()
for ((i = 1; i <= entries; i++)); do
    pid_name=pid_entry_$i
    used=$(($(ticks "${!pid_name}") - before_ticks[$i]))
    sent=$(($(peer_bytes $i) - before_bytes[$i]))
    awk -v i=$i -v t=$used -v m="$(rss_kb "${!pid_name}")" -v b=$sent 'BEGIN {
        printf "  entry-%d  %.2f %% of a core  %.1f MB  %.2f KB/s to peers\n", i, t / 20, m / 1024, b / 20 / 1024 }'
    idle+=("{\"entry\":$i,\"cpuHundredths\":$used,\"rssKb\":$(rss_kb "${!pid_name}"),\"peerBytes\":$sent}")
done
http "http://$platform/control" >"$out/store-after"
for kind in reads writes watches; do
    echo "  store $kind in 20 s, all entries: $(($(field $kind "$(cat "$out/store-after")") - $(field $kind "$(cat "$out/store-before")")))"
done

through=()
for ((i = 1; i <= entries; i++)); do through+=(--entry "$(entry $i)"); done
echo "2,000 requests a second of 10 ms each on 400 slots (goals: at most 1 ms more at the median, 5 ms at p99):"
sed 's/^/  direct   /' "$out/direct.table"
"$build/cicada-call" "${through[@]}" --load "$out/plan.json" --seed 2 | sed 's/^/  through  /'
"$build/cicada-call" "${through[@]}" --load "$out/plan.json" --seed 4 --json >"$out/through.json"
"$build/cicada-call" "${through[@]}" --load "$out/plan-tally.json" --rate 500 --seed 5 --json >"$out/tally.json"
echo "  at most once, 500 a second: $(cat "$out/tally.json")"
http "http://$platform/control" >"$out/store-load"
echo "  store writes while loaded: $(($(field writes "$(cat "$out/store-load")") - $(field writes "$(cat "$out/store-after")")))"
echo "{\"idle\":[$(IFS=,; echo "${idle[*]}")],\"direct\":$(cat "$out/direct.json"),\"through\":$(cat "$out/through.json"),\"tally\":$(cat "$out/tally.json")}" \
    >"$build/processes-bench.json"
for span in queue back-end; do
    cat "$out"/spans-*.jsonl | grep "\"name\":\"$span\"" |
        sed 's/.*"endTimeUnixNano":"\([0-9]*\)".*"startTimeUnixNano":"\([0-9]*\)".*/\1 \2/' |
        awk '{print ($1 - $2) / 1e6}' | sort -n |
        awk -v s=$span '{v[NR] = $1} END {printf "  span %-9s p50 %.1f ms  p99 %.1f ms\n", s, v[int(NR / 2)], v[int(NR * 0.99)]}'
done
judge_executors
echo "  most slots in use on one executor: $most_in_use of 8; starts beyond the slots: $overfull"
