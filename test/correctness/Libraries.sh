#!/usr/bin/env bash
# Guards against a program that is linked without a library it needs, against one that links an archive whose needs differ
# between architectures, and against a package that only the tests' set-up installs: the deploy build has to find all of its
# packages in its own list.
set -u
cd "$(dirname "$0")/../.." || exit 1
build=$1
failed=0
for program in cicada-node cicada-entry cicadactl cicada-call; do
    missing=$(LC_ALL=C ldd -r "$build/$program" | grep -E 'not found|undefined symbol')
    if [ -n "$missing" ]; then
        echo "FAILED: $program: $missing"
        failed=1
    fi
done
# The packages that own the shared libraries which cicada-node loads by name. The C and C++ run-time comes with g++.
declared=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '" ' | tr ',' '\n')
closure=$(for package in $declared; do
    echo "$package"
    dpkg-query -W -f '${Depends}\n' "$package" | tr ',|' '\n\n' | awk '{print $1}'
done | sort -u)
for name in $(objdump -p "$build/cicada-node" | awk '$1 == "NEEDED" {print $2}'); do
    path=$(ldd "$build/cicada-node" | awk -v name="$name" '$1 == name && $3 != "" {print $3}')
    [ -n "$path" ] || continue
    owner=$(dpkg-query -S "$(realpath "$path")" "$path" 2>/dev/null | sed 's/:.*//' | sort -u | head -1)
    case $owner in libc6 | libstdc++6 | libgcc-s1) continue ;; esac
    if ! grep -qx "${owner%%:*}" <<<"$closure"; then
        echo "FAILED: $name comes from '$owner', which no package of deploy/system.toml depends on"
        failed=1
    fi
done
# allowed ARCHIVE: whether .ci/static-archives lists it.
allowed() {
    local pattern
    while read -r pattern _; do
        # shellcheck disable=SC2053
        [[ $1 == $pattern ]] && return 0
    done < <(grep -v '^#' .ci/static-archives)
    return 1
}

# Each program is linked again, and the linker names what it reads.
commands=$(ninja -C "$build" -t commands all | grep -E '^: && .* -o [^ ]+ .* && :$')
[ -n "$commands" ] || { echo "FAILED: $build links no program" && failed=1; }
while read -r command; do
    program=$(sed 's/.* -o \([^ ]*\) .*/\1/' <<<"$command")
    traced=$(sed "s/ -o [^ ]* / -o \/dev\/null -Wl,--trace /" <<<"$command")
    if ! inputs=$(cd "$build" && bash -c "$traced" 2>&1); then
        echo "FAILED: $program can't be linked again: $inputs"
        failed=1
        continue
    fi
    for archive in $(grep -oE '[^ ()]+\.a\b' <<<"$inputs" | sort -u); do
        [ -e "$build/$archive" ] || allowed "$(basename "$archive")" || {
            echo "FAILED: $program links $archive, which .ci/static-archives does not list"
            failed=1
        }
    done
done <<<"$commands"
[ $failed = 0 ] && echo "All libraries are declared and found."
exit $failed
