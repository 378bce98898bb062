#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python sources that need no build; this checks that they can be read.
set -e
cd "$(dirname "$0")"
shopt -s nullglob
for source in standins-2/*.py [6-9]/*.py 10*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
done
