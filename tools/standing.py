"""Plays days of the standing test over many seeds and prints a table of them (the kit has to lie beside).

    python -m tools.standing SITE --bench LBREAL --days roll+mass,join+mass --seeds 1-10 [--nodes 30]

Each day leaves its journal entry, as every play does; ``--out FOLDER`` keeps report, output and logs of each.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

READY = re.compile(r"restarts took \[([^\]]*)\]")
LAST = re.compile(r"G (\S+)\s+floor (\S+)\s+top (\S+)\s+served (\S+) \(gate (\S+)\).*score (\S+)")
HEAD = "| day | seed | rules | score | served | gate wants | thirds | classes | ready, 9 in 10 of n within |"
EARLY = 0.9  # share of restarted proxies whose ready time is told


@dataclass(frozen=True, slots=True)
class Play:
    day: str
    seed: int
    code: int
    output: str
    report: dict[str, Any]

    def row(self) -> str:
        last = LAST.search(self.output)
        score, served, wants = (last[6], last[4], last[5]) if last else ("none", "-", "-")
        classes = " ".join(
            f"{one['name']} {one['served'] / one['offered']:.2f}"
            for one in self.report.get("classes", [])
            if one["offered"]
        )
        rules = ", ".join(f"{name} {count}" for name, count in self.report.get("breaks", {}).items())
        if self.code != 0 and not rules:
            rules = f"exit {self.code}"
        took = READY.search(self.output)
        times = sorted(float(one) for one in took[1].split(",") if one.strip()) if took else []
        ready = f"{times[int(EARLY * (len(times) - 1))]:.1f} s of {len(times)}" if times else "none restarted"
        thirds = " ".join(f"{one:.2f}" for one in self.thirds())
        return (
            f"| {self.day} | {self.seed} | {rules or 'kept'} | {score} | {served} | {wants} | {thirds} "
            f"| {classes} | {ready} |"
        )

    def thirds(self) -> list[float]:
        """Worth served in each third of the day, from the bench's rows of five seconds."""
        rows = [line.split() for line in self.output.splitlines()]
        cells = [
            (int(row[1]), float(row[-1]))
            for row in rows
            if len(row) >= 16 and row[0].isdecimal() and re.fullmatch(r"\d+\.\d", row[-1])
        ]
        parts = [cells[len(cells) * k // 3 : len(cells) * (k + 1) // 3] for k in range(3)]
        return [sum(n * worth for n, worth in part) / 100 / max(1, sum(n for n, _ in part)) for part in parts]


def numbers(text: str) -> list[int]:
    """Seeds as in ``1-10`` or ``3,7,11-13``. Raises ValueError on anything else."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found.extend(range(int(first), int(last or first) + 1))
    return found


def play(options: argparse.Namespace, day: str, seed: int) -> Play:
    out = Path(options.out) / f"{Path(options.site).stem}-{day}-{seed}"
    out.mkdir(parents=True, exist_ok=True)
    words = [options.bench, options.site, "--rough", day, "--seed", str(seed), "--nodes", str(options.nodes)]
    words += ["--json", str(out / "report.json"), "--logs", str(out / "logs")]
    words += ["--no-build"] if options.no_build else []
    words += ["--why", options.why] if options.why else []
    run = subprocess.run(words, capture_output=True, text=True, check=False)
    (out / "output").write_text(run.stdout + run.stderr)
    try:
        report = json.loads((out / "report.json").read_text())
    except (OSError, ValueError):
        report = {}
    return Play(day, seed, run.returncode, run.stdout + run.stderr, report)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("site")
    parser.add_argument("--bench", required=True)
    parser.add_argument("--days", default="roll+mass,split+mass,join+mass")
    parser.add_argument("--seeds", default="1-10", type=numbers)
    parser.add_argument("--nodes", default=30, type=int)
    parser.add_argument("--beside", default=1, type=int, help="plays at a time")
    parser.add_argument("--out", default="found/standing")
    parser.add_argument("--no-build", action="store_true")
    parser.add_argument("--why", default="")
    options = parser.parse_args()
    print(HEAD, "|" + " --- |" * HEAD.count(" | ") + " --- |", sep="\n")
    asked = [(day, seed) for day in options.days.split(",") for seed in options.seeds]
    bad = 0
    with ThreadPoolExecutor(options.beside) as pool:
        for one in pool.map(lambda each: play(options, *each), asked):
            bad += one.code != 0
            print(one.row(), flush=True)
    return min(bad, 1)


if __name__ == "__main__":
    sys.exit(main())
