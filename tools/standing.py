"""Runs days of the standing test over many seeds and prints a table (needs the kit next to the repository).

    python -m tools.standing SITE --bench LBREAL --days roll+mass,join+mass --seeds 1-10 [--nodes 30]

LBREAL is the bench's executable; ``--days`` names the days by the values of the bench's ``--rough``.
The bench writes a journal entry for each run. ``--out FOLDER`` keeps report, output and logs of each run.
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

RESTART_TIMES = re.compile(r"restarts took \[([^\]]*)\]")
SUMMARY = re.compile(r"G (\S+)\s+floor (\S+)\s+top (\S+)\s+served (\S+) \(gate (\S+)\).*score (\S+)")
TABLE_HEAD = (
    "| day | seed | rules | score | served | gate wants | thirds | classes | ready, 9 in 10 of n within |"
)
READY_SHARE = 0.9  # share of the restarted proxies that were ready within the printed time


@dataclass(frozen=True, slots=True)
class DayResult:
    """Output and report of one run of the bench."""

    day: str
    seed: int
    exit_code: int
    output: str
    report: dict[str, Any]

    def row(self) -> str:
        """Return the run's row of the table."""
        summary = SUMMARY.search(self.output)
        score, served, gate = (summary[6], summary[4], summary[5]) if summary else ("none", "-", "-")
        classes = " ".join(
            f"{row['name']} {row['served'] / row['offered']:.2f}"
            for row in self.report.get("classes", [])
            if row["offered"]
        )
        rules = ", ".join(f"{name} {count}" for name, count in self.report.get("breaks", {}).items())
        if self.exit_code != 0 and not rules:
            rules = f"exit {self.exit_code}"
        restarts = RESTART_TIMES.search(self.output)
        ready_times = (
            sorted(float(seconds) for seconds in restarts[1].split(",") if seconds.strip())
            if restarts
            else []
        )
        ready = (
            f"{ready_times[int(READY_SHARE * (len(ready_times) - 1))]:.1f} s of {len(ready_times)}"
            if ready_times
            else "none restarted"
        )
        thirds = " ".join(f"{share:.2f}" for share in self.thirds())
        return (
            f"| {self.day} | {self.seed} | {rules or 'kept'} | {score} | {served} | {gate} | {thirds} "
            f"| {classes} | {ready} |"
        )

    def thirds(self) -> list[float]:
        """Return the share of worth served per third of the day, from the bench's five-second rows."""
        rows = [line.split() for line in self.output.splitlines()]
        counts_and_worths = [
            (int(row[1]), float(row[-1]))
            for row in rows
            if len(row) >= 16 and row[0].isdecimal() and re.fullmatch(r"\d+\.\d", row[-1])
        ]
        parts = [
            counts_and_worths[len(counts_and_worths) * third // 3 : len(counts_and_worths) * (third + 1) // 3]
            for third in range(3)
        ]
        return [
            sum(count * worth for count, worth in part) / 100 / max(1, sum(count for count, _ in part))
            for part in parts
        ]


def seed_list(text: str) -> list[int]:
    """Parse seeds such as ``1-10`` or ``3,7,11-13``; raises ValueError for anything else."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def run_day(options: argparse.Namespace, day: str, seed: int) -> DayResult:
    """Run the bench for one day and seed; a missing or unreadable report counts as empty."""
    out = Path(options.out) / f"{Path(options.site).stem}-{day}-{seed}"
    out.mkdir(parents=True, exist_ok=True)
    args = [options.bench, options.site, "--rough", day, "--seed", str(seed), "--nodes", str(options.nodes)]
    args += ["--json", str(out / "report.json"), "--logs", str(out / "logs")]
    args += ["--no-build"] if options.no_build else []
    args += ["--why", options.why] if options.why else []
    completed = subprocess.run(args, capture_output=True, text=True, check=False)
    (out / "output").write_text(completed.stdout + completed.stderr)
    try:
        report = json.loads((out / "report.json").read_text())
    except (OSError, ValueError):
        report = {}
    return DayResult(day, seed, completed.returncode, completed.stdout + completed.stderr, report)


def main() -> int:
    """Run all days and seeds; return 1 if any run failed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("site")
    parser.add_argument("--bench", required=True)
    parser.add_argument("--days", default="roll+mass,split+mass,join+mass")
    parser.add_argument("--seeds", default="1-10", type=seed_list)
    parser.add_argument("--nodes", default=30, type=int)
    parser.add_argument("--beside", default=1, type=int, help="number of runs at a time")
    parser.add_argument("--out", default="found/standing")
    parser.add_argument("--no-build", action="store_true")
    parser.add_argument("--why", default="")
    options = parser.parse_args()
    print(TABLE_HEAD, "|" + " --- |" * TABLE_HEAD.count(" | ") + " --- |", sep="\n")
    runs = [(day, seed) for day in options.days.split(",") for seed in options.seeds]
    failed = 0
    with ThreadPoolExecutor(options.beside) as pool:
        for result in pool.map(lambda run: run_day(options, *run), runs):
            failed += result.exit_code != 0
            print(result.row(), flush=True)
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main())
