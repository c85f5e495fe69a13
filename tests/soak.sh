#!/usr/bin/env bash
# Runs the soak of the router's binary on real sockets: tests/soak.sh FIRST..LAST, both seeds included, four at a time,
# about 14 s each. Prints one line per seed, the plan and the violations of each seed that broke a rule, and a summary.
# Exits with 1 if a rule was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet -p cache-router -p router-soak -p failing-system-calls -p stepped-clock
export ASTERPORT_FAILING_CALLS="$PWD/target/release/libfailing_system_calls.so"
export ASTERPORT_STEPPED_CLOCK="$PWD/target/release/libstepped_clock.so"
ASTERPORT_PROGRAM="$PWD/target/release/cache-router" exec target/release/router-soak "$@"
