#!/usr/bin/env bash
# A demo that takes half a minute: the executors of both example deployments, three entries in three regions, a mixed
# load whose rate changes, and one entry that is killed halfway. Exits non-zero if any guarantee was violated.
CICADA_BASE_PORT=${CICADA_BASE_PORT:-27000}
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/test/standin/Cluster.sh"

regions=(khulna-a nadia-a howrah-a)
start_platform
for i in 0 1 2; do
    start_executors order-desk "${regions[i]}" 3 8 $((base + 300 + 10 * i))
    start_executors design "${regions[i]}" 3 8 $((base + 400 + 10 * i))
done
for i in 0 1 2; do start_entry $((i + 1)) "${regions[i]}"; done
for i in 1 2 3; do wait_for 15 http -f "http://$(entry $i)/healthz" || fail "entry-$i"; done
for file in "$root"/apps/cooperative/profiles/*.json "$root"/apps/lumen/profiles/*.json; do
    set_profile 1 "$(basename "$file" .json)" "$(cat "$file")"
done
for i in 1 2 3; do wait_ready $i; done
echo "Three entries are up; the load runs for 8 seconds, and entry-2 is killed in the middle."

entries=(--entry "$(entry 1)" --entry "$(entry 2)" --entry "$(entry 3)")
for name in cooperative lumen; do
    "$build/cicada-call" "${entries[@]}" --load "$root/apps/$name/load.json" --verify-echo --concurrency 150 \
        --record "$out/$name.record" >"$out/$name.table" &
    eval "load_$name=\$!"
done
sleep 4
kill -9 "$pid_entry_2"
wait "$load_cooperative" || broken="$broken a response was not the echo of its request;"
wait "$load_lumen" || broken="$broken a response was not the echo of its request;"

echo
echo "Co-operative:"
cat "$out/cooperative.table"
echo "Lumen Works:"
cat "$out/lumen.table"
judge_executors
echo
echo "Executors: max slots in use on one: $most_in_use of 8; starts beyond the slot count: $overfull; ids run twice: $doubled"
echo "Requests reported as not-run that ran: $(count_not_run_that_ran "$out/cooperative.record" "$out/lumen.record")"
[ "$overfull" = 0 ] && [ "$most_in_use" -le 8 ] || broken="$broken a VM was assigned more than its slots;"
[ "$doubled" = 0 ] || broken="$broken an id ran twice;"
[ "$(count_not_run_that_ran "$out/cooperative.record" "$out/lumen.record")" = 0 ] || broken="$broken a request reported as not-run had run;"
if [ -n "${broken:-}" ]; then
    echo "VIOLATED:$broken"
    exit 1
fi
echo "All guarantees held."
