#!/usr/bin/env python3
"""Writes variants of two deployments' site files, and plays them in the simulator as one table.

  setups.py write FIRST.toml SECOND.toml DIR      42 site files into DIR, from the ranges below
  setups.py table SIMULATOR DIR --why TEXT [NAMES]   plays each file's quick days, or those that match NAMES;
                                                  prints one line a file

The table holds the score, each day's G less the better of the bare ring (`hash`) and `modulo`, and broken rules.
No range is drawn for a day that was seen to go well or badly: they are the ends of what an operator may have.
"""

import json
import pathlib
import re
import subprocess
import sys

# Section and key, and the value that takes the place of the site's; one list a variant.
BOTH = {
    "as-is": [],
    "draw": [("", "stock", '"another-draw"')],
    "routers-9": [("scale", "balancers", "[9, 16]"), ("scale", "big_balancers", "[9, 16]")],
    "routers-20": [("scale", "balancers", "[20, 40]"), ("scale", "big_balancers", "[20, 40]")],
    "routers-100": [("scale", "balancers", "[90, 110]"), ("scale", "big_balancers", "[90, 110]"),
                    ("scale", "servers", "[50, 60]"), ("scale", "big_servers", "[50, 60]")],
    "servers-3": [("scale", "servers", "[3, 6]"), ("scale", "big_servers", "[5, 8]"), ("scale", "twin_servers", "3")],
    "servers-40": [("scale", "servers", "[30, 45]"), ("scale", "big_servers", "[45, 60]")],
    "near": [("net", "cross_ms", "[0.3, 1]")],
    "far": [("net", "cross_ms", "[15, 25]")],
    "one-a-connection": [("tier.conn", "streams", "1")],
    "handshakes": [("tier.conn", "handshake_rtts", "[3, 5]"), ("tier.conn", "handshake_us", "[3000, 6000]")],
    "hits-0.7": [("fam", "hits", "[0.7, 0.78]")],
    "origin-tight": [("fam", "origin_headroom", "[1.3, 1.7]")],
    "cold": [("tier.kind", "cold_from", "[0.08, 0.15]"), ("tier.kind", "cold_s", "[15, 25]")],
    "fall-2": [("rules", "fall_multiple", "2")],
    "clients-at-once": [("clients", "backoff", '["none"]'), ("clients", "honour", "0"), ("clients", "retries", "3")],
    "clients-never": [("clients", "retries", "0")],
    "list-pushed": [("discovery", "mode", '"push"')],
    "aside": [("fam", "mode", '"aside"')],
}
FIRST = {
    "hits-0.97": [("fam", "hits", "[0.95, 0.97]")],
    "reports": [("tier.report", "how", '"answers"'), ("tier.report", "fields", '["util", "queue", "latency_ms", "x1"]')],
}
SECOND = {
    "no-reports": [("tier.report", "how", '"none"'), ("tier.report", "fields", "[]")],
    "few-hits-far": [("fam", "hits", "[0.7, 0.78]"), ("net", "cross_ms", "[15, 25]")],
}


def changed(text, changes):
    """The site's text with each change made wherever its section and key stand; added where they do not."""
    for section, key, value in changes:
        lines, at, found = [], "", False
        for line in text.splitlines():
            head = re.fullmatch(r"\[+([\w.]+)\]+", line.strip())
            at = head[1] if head else at
            if at == section and re.match(rf"{key}\s*=", line):
                line, found = f"{key} = {value}", True
            lines.append(line)
        if not found:
            sys.exit(f"setups.py: the site file has no {key} in [{section}]")
        text = "\n".join(lines) + "\n"
    return text


def write(first, second, folder):
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    for label, path, variants in (("a", first, BOTH | FIRST), ("b", second, BOTH | SECOND)):
        path = pathlib.Path(path)
        text = path.read_text()
        wire = re.search(r'^wire = "(.*)"$', text, re.M)
        text = text.replace(wire[0], f'wire = "{(path.parent / wire[1]).resolve()}"')
        for name, changes in variants.items():
            (folder / f"{label}-{name}.toml").write_text(changed(text, changes))


def marks(simulator, site):
    """Day -> policy -> G of the built-in policies."""
    days, day = {}, None
    for line in subprocess.run([simulator, "marks", site], capture_output=True, text=True).stdout.splitlines():
        if re.match(r"\S+ \(", line):
            day = days.setdefault(line.split()[0], {})
        elif day is not None and re.match(r"  \S+ +-?\d+\.\d+", line):
            name, g = line.split()[:2]
            day[name] = float(g)
    return days


def table(simulator, folder, why, names="[ab]-*"):
    scores, behind = [], 0
    for site in sorted(pathlib.Path(folder).glob(names + ".toml")):
        call = [simulator, "score", str(site), "--quick", "--no-build", "--why", why]
        text = subprocess.run(call, capture_output=True, text=True).stdout
        shown = re.search(r"^snapshot (\w+)$", text, re.M)
        if not shown:
            print(f"{site.stem:24} no snapshot: {text.strip().splitlines()[-1:]}")
            continue
        days = json.loads(next(pathlib.Path("journal").glob(f"*-{shown[1]}.json")).read_text())["days"]
        built_in = marks(simulator, str(site))
        score = sum(d["score"] for d in days) / len(days)
        scores.append(score)
        cells = []
        for d in days:
            plain = max(built_in.get(d["name"], {}).get(policy, -9.0) for policy in ("hash", "modulo"))
            fault = d["fault"] or any(d["rules"].values())
            behind += d["G"] - plain < -0.02
            cells.append(f"{d['name']} {d['score']:.2f} ({d['G'] - plain:+.2f}){'!' if fault else ''}")
        print(f"{site.stem:24} {score:.3f}  " + "  ".join(cells), flush=True)
    mean = sum(scores) / len(scores)
    print(f"{len(scores)} setups, mean {mean:.3f}, least {min(scores):.3f}; "
          f"behind the better of hash and modulo by over 0.02 on {behind} days")


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["write", first, second, folder]:
            write(first, second, folder)
        case ["table", simulator, folder, "--why", why, *names] if len(names) < 2:
            table(simulator, folder, why, *names)
        case _:
            sys.exit(__doc__)
