#!/usr/bin/env bash
# Guards against a program that is linked without a library it needs, and against a package that only the tests' set-up
# installs: the deploy build has to find all of its packages in its own list.
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
[ $failed = 0 ] && echo "All libraries are declared and found."
exit $failed
