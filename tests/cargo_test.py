#!/usr/bin/env python3
"""Runs the workspace's tests and tolerates only the failures that KNOWN-RED.txt lists.

Every test runs. The script fails if a failure is not listed, if a test binary ends without a result line or if the
build fails. Listed failures are printed at the end.
"""
import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
COMMAND = ["cargo", "test", "--locked", "--workspace", "--no-fail-fast"]
RUNNING = re.compile(r"^\s*Running .*\(.*/deps/(?P<target>\w+)-[0-9a-f]+\)$")
DOCTESTS = re.compile(r"^\s*Doc-tests (?P<target>\w+)$")
FAILED_TEST = re.compile(r"^test (?P<name>.+?)(?: - should panic)? \.\.\. FAILED$")
FAILED_TARGET_COUNT = re.compile(r"^error: (?P<count>\d+) targets? failed:$")
FAILED_RESULT = "test result: FAILED."


def known_failures() -> set[str]:
    """The tests of KNOWN-RED.txt, as TARGET::NAME."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return {line.removeprefix("test: ") for line in lines if line.startswith("test: ")}


def run_tests() -> tuple[int, list[str]]:
    """Runs cargo and prints what it prints; its exit code and its lines."""
    lines = []
    process = subprocess.Popen(
        COMMAND, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, errors="replace"
    )
    for line in process.stdout:
        sys.stdout.write(line)
        lines.append(line.rstrip("\n"))
    return process.wait(), lines


def failed_tests(lines: list[str]) -> list[str]:
    """The failed tests, as TARGET::NAME."""
    failed, target = [], "?"
    for line in lines:
        if started := RUNNING.match(line) or DOCTESTS.match(line):
            target = started["target"]
        elif test := FAILED_TEST.match(line):
            failed.append(f"{target}::{test['name']}")
    return failed


def every_failed_target_has_a_result(lines: list[str]) -> bool:
    """Whether each target that failed ran to its end: one that crashed prints no result line."""
    counts = [int(found["count"]) for line in lines if (found := FAILED_TARGET_COUNT.match(line))]
    return len(counts) == 1 and counts[0] == sum(line.startswith(FAILED_RESULT) for line in lines)


def main() -> int:
    code, lines = run_tests()
    if code == 0:
        return 0
    failed, known = failed_tests(lines), known_failures()
    unknown = [test for test in failed if test not in known]
    if not failed or unknown or not every_failed_target_has_a_result(lines):
        print(f"failed and not in KNOWN-RED.txt: {', '.join(unknown) or 'the build or a test binary'}")
        return code
    for test in failed:
        print(f"KNOWN-RED, passed over: {test}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
