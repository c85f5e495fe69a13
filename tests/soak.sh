#!/usr/bin/env bash
# The soak of the router's real binary: tests/soak.sh FIRST..LAST plays these seeds, four side by side, some 14 s each.
# A line a seed, the plan and the breaches of a seed that broke a rule, and a summary. Ends with 1 where a rule broke.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet -p cache-router -p router-soak -p failing-system-calls
export ASTERPORT_FAILING_CALLS="$PWD/target/release/libfailing_system_calls.so"
ASTERPORT_PROGRAM="$PWD/target/release/cache-router" exec target/release/router-soak "$@"
