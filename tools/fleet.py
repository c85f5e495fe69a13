#!/usr/bin/env python3
"""Sums the routers' summary lines over a fleet, by second (docs/operators/larger-fleet.md).

  fleet.py FOLDER [NAME ...]      one row a second; columns whose name begins with one of NAMEs, or all that grow

Reads every *.log file of the folder. Names that end in _m are means in thousandths, the others are sums.
"""

import collections
import pathlib
import sys


def main(folder, names):
    seconds = collections.defaultdict(collections.Counter)
    for path in pathlib.Path(folder).glob("*.log"):
        for line in path.read_text(errors="replace").splitlines():
            _, mark, rest = line.partition("summary at=")
            if not mark:
                continue
            at, *pairs = rest.split()
            row = seconds[int(at)]
            row["routers"] += 1
            for pair in pairs:
                name, _, value = pair.rpartition("=")
                row[name] += int(value)
    if not seconds:
        sys.exit(f"{folder}: no summary line in any *.log file")
    found = sorted({name for row in seconds.values() for name in row})
    columns = [name for name in found if not names or any(name.startswith(wanted) for wanted in names)]
    print(" ".join(["second", *columns]))
    first = min(seconds)
    for at, row in sorted(seconds.items()):
        def cell(name):
            return row[name] // row["routers"] if name.endswith("_m") else row[name]
        print(" ".join(f"{value:>{len(name)}}" for name, value in
                       [("second", at - first)] + [(name, cell(name)) for name in columns]))


if __name__ == "__main__":
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    main(sys.argv[1], sys.argv[2:])
