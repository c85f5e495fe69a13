#!/usr/bin/env bash
# Whether two builds of the simulation behave alike: their digests cover every byte on the wire and its microsecond.
#
#   tests/compare_digests.sh OLD_BINARY NEW_BINARY
#
# Both have to run on one machine: floating-point libraries may differ between machines, and the digests with them.
set -euo pipefail
[ $# -eq 2 ] || { echo "usage: compare_digests.sh OLD_BINARY NEW_BINARY" >&2; exit 2; }

digest() { # binary, arguments of its run command ...
    local binary=$1
    shift
    "$binary" run "$@" | sed -n 's/^digest *//p'
}

status=0
for arguments in "--seeds 0..1050" "--joining --seeds 0..1000"; do
    # Word splitting is wanted: each holds several arguments.
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
