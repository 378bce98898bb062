#!/usr/bin/env bash
# A build folder that was made on another kind of machine is refused with a message that says what to do.
set -u
cd "$(dirname "$0")/../.." || exit 1
build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT
configure() { cmake -S . -B "$build" -G Ninja -DCICADA_TESTS=OFF 2>&1; }
fail() {
    echo "FAILED: $1"
    exit 1
}

configure >"$build/first.log" || fail "a new folder is refused: $(cat "$build/first.log")"
configure >"$build/second.log" || fail "the machine's own folder is refused: $(cat "$build/second.log")"
sed -i 's/^set(CMAKE_CXX_LIBRARY_ARCHITECTURE .*/set(CMAKE_CXX_LIBRARY_ARCHITECTURE "another-linux-gnu")/' \
    "$build"/CMakeFiles/*/CMakeCXXCompiler.cmake
configure >"$build/third.log" && fail "a folder of another kind of machine is accepted"
grep -q 'made for another-linux-gnu' "$build/third.log" || fail "no reason is given: $(cat "$build/third.log")"
grep -q 'Delete the folder' "$build/third.log" || fail "no remedy is given: $(cat "$build/third.log")"
echo "A folder of another kind of machine is refused."
