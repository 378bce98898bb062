#!/usr/bin/env bash
# A short soak of the daemon as processes, with the seeds of test/soak/seeds.txt, some beside each other. Prints its own verdict.
# Each lane has a folder of its own: settings and logs are named after the seed, which two lanes may play at once.
set -u
build=$1
here=$(cd "$(dirname "$0")/../soak" && pwd)
work=$(mktemp -d)
base=$((16000 + $$ % 2 * 2500))
lanes=3
lane() { # number: plays every third seed at ports of its own
    sed -n 's/^\([0-9][0-9]*\) .*/\1/p' "$here/seeds.txt" | awk -v l="$1" -v n=$lanes 'NR % n == l' | while read -r seed; do
        "$build/cicada-soak" --node "$build/cicada-node" --first "$seed" --seconds 8 --port $((base + $1 * 300)) --keep "$work/lane$1"
    done > "$work/lane$1.txt" 2>&1
}
for l in $(seq 0 $((lanes - 1))); do lane "$l" & done
for seed in 1 2; do
    "$build/cicada-soak" --node "$build/cicada-node" --first $seed --cells 2 --seconds 12 --port $((base + lanes * 300)) --keep "$work/lane$lanes"
done > "$work/lane$lanes.txt" 2>&1 &
for seed in 3 4; do
    "$build/cicada-soak" --node "$build/cicada-node" --first $seed --accounts --cells $((seed - 2)) --seconds 10 \
        --port $((base + (lanes + 1) * 300)) --keep "$work/lane$((lanes + 1))"
done > "$work/lane$((lanes + 1)).txt" 2>&1 &
for seed in 5 6; do
    "$build/cicada-soak" --node "$build/cicada-node" --first $seed --deadly --cells $((seed - 4)) --seconds 10 \
        --port $((base + (lanes + 2) * 300)) --keep "$work/lane$((lanes + 2))"
done > "$work/lane$((lanes + 2)).txt" 2>&1 &
cuts() { # lane, seed, seconds, options: sound jobs were given up with these, as their runs lapsed on executors that were cut off
    "$build/cicada-soak" --node "$build/cicada-node" --first "$2" --cuts --executors 24 --seconds "$3" "${@:4}" \
        --port $((base + (lanes + $1) * 300)) --keep "$work/lane$((lanes + $1))" > "$work/lane$((lanes + $1)).txt" 2>&1
}
cuts 3 13 20 &
cuts 4 101 12 --deadly &
wait
broken=$(grep -h 'BROKEN\|^seed [0-9]*: ' "$work"/lane*.txt | grep -v ', kept$')
played=$(grep -ch ', kept$\|, BROKEN$' "$work"/lane*.txt | awk '{n += $1} END {print n}')
wanted=$(($(grep -c '^[0-9]' "$here/seeds.txt") + 8))
if [ -n "$broken" ] || [ "$played" != "$wanted" ]; then
    echo "FAILED: $played of $wanted seeds were played"
    cat "$work"/lane*.txt
    echo "logs are in $work"
    exit 1
fi
rm -rf "$work"
echo "passed"
