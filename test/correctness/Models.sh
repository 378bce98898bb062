#!/usr/bin/env bash
# The specifications hold exhaustively, and each mutant of them is caught. Runs the checker only; needs no build.
exec bash "$(dirname "$0")/../../spec/check"
