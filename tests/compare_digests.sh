#!/usr/bin/env bash
# Compares the digests of two builds of the simulation, which cover every byte on the wire and its time in
# microseconds. Exits with 1 if they differ.
#
#   tests/compare_digests.sh OLD_BINARY NEW_BINARY
#
# Both have to run on the same machine, because floating-point libraries may differ between machines.
set -euo pipefail
[ $# -eq 2 ] || { echo "usage: compare_digests.sh OLD_BINARY NEW_BINARY" >&2; exit 2; }

digest() { # binary, arguments of its run command ...
    local binary=$1
    shift
    "$binary" run "$@" | sed -n 's/^digest *//p'
}

status=0
for arguments in "--seeds 0..1050" "--joining --seeds 0..1000"; do
    # Each element holds several arguments, so word splitting is intended.
    # shellcheck disable=SC2086
    old=$(digest "$1" $arguments)
    # shellcheck disable=SC2086
    new=$(digest "$2" $arguments)
    if [ -n "$old" ] && [ "$old" = "$new" ]; then
        echo "equal    $new  run $arguments"
    else
        echo "DIFFERS  ${old:-none} ${new:-none}  run $arguments"
        status=1
    fi
done
exit $status
