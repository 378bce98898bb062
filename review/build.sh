#!/usr/bin/env bash
# The stand-ins are Python sources; nothing is compiled. Checks that they can be read and that the deploy build is there.
set -eu
cd "$(dirname "$0")"
for source in standin/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
test -x ../target/cicada-node
echo "the stand-ins are ready"
