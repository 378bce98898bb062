#!/usr/bin/env bash
# Guards against sums of products that differ between kinds of machine. "make cross" checks the other architectures.
cd "$(dirname "$0")/../.." || exit 1
bash .ci/fused-arithmetic "$1" objdump && echo "No multiplication is fused with an addition."
