#!/usr/bin/env bash
# Builds what the scripts of review/11 and on start beside the daemon of the deploy build. The stand-in of the platform is
# Python without packages: it is only compiled here, to see that it can run.
set -eu
cd "$(dirname "$0")/.."
command -v curl > /dev/null || { echo "curl is missing"; exit 1; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
python3 - "$folder" <<'PYTHON'
import pathlib
import py_compile
import sys

for source in pathlib.Path("review/platform-3").glob("*.py"):
    py_compile.compile(str(source), cfile=f"{sys.argv[1]}/{source.name}c", doraise=True)
PYTHON
echo "the stand-ins of review/platform-3 can run"
