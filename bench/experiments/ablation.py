"""Ablation study: the score of a day with each mechanism disabled.

Clones the repository once per mechanism, with a deploy file that starts the
daemon `--without` it, runs days of the users' bench in each clone, and prints
a table of differences from the clone with all mechanisms enabled. Journal
entries of the clones are copied back into this repository.

    python -m bench.experiments.ablation --bench PROGRAM --scratch FOLDER
        SITE:DAY[:SEED] ...
"""

import argparse
import concurrent.futures
import pathlib
import re
import shutil
import statistics
import subprocess
import sys
from typing import NamedTuple

from topazlug.placement import _mechanisms

ROOT = pathlib.Path(__file__).parents[2]
_ALL = "nothing"
_RUN_LINE = re.compile(r'^run = "(.*)"$', re.MULTILINE)
_WORTH = re.compile(r"^worth (-?[\d.]+) = ", re.MULTILINE)


class Day(NamedTuple):
    """One day of a site, with an optional seed that replaces its own."""

    site: str
    day: str
    seed: str

    @classmethod
    def parse(cls, text: str) -> "Day":
        """Parse SITE:DAY[:SEED]."""
        site, day, *seed = text.split(":")
        return cls(site, day, seed[0] if seed else "")

    @property
    def title(self) -> str:
        """Return the column heading of the day in the table."""
        site = pathlib.Path(self.site).stem
        return f"{site} {pathlib.Path(self.day).stem}"


def clone_without(scratch: pathlib.Path, mechanism: str) -> pathlib.Path:
    """Clone the repository with one mechanism disabled in its daemons."""
    folder = scratch / f"without-{mechanism}"
    if folder.exists():
        shutil.rmtree(folder)
    subprocess.run(
        ["git", "clone", "--quiet", str(ROOT), str(folder)], check=True
    )
    if mechanism == _ALL:
        return folder
    deploy = folder / "deploy" / "system.toml"
    text = deploy.read_text()
    changed = _RUN_LINE.sub(rf'run = "\1 --without={mechanism}"', text)
    deploy.write_text(changed)
    return folder


def run_day(
    bench: str, folder: pathlib.Path, mechanism: str, day: Day
) -> float:
    """Run a day in a clone; return its score, NaN if the run failed."""
    command = [bench, "run", day.site, day.day, "--jobs", "1"]
    command += ["--why", f"ablation: without {mechanism}"]
    if day.seed:
        command += ["--seed", day.seed]
    done = subprocess.run(
        command, cwd=folder, capture_output=True, text=True, check=False
    )
    found = _WORTH.search(done.stdout)
    if found is None:
        print(
            f"{mechanism}, {day.title}: {done.stderr[-300:]}", file=sys.stderr
        )
        return float("nan")
    return float(found[1])


def copy_journal_back(folder: pathlib.Path) -> None:
    """Copy a clone's journal entries that this repository lacks."""
    for entry in (folder / "journal").rglob("*"):
        here = ROOT / "journal" / entry.relative_to(folder / "journal")
        if entry.is_file() and not here.exists():
            here.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(entry, here)


def main() -> None:
    """Run each day with each mechanism disabled and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--scratch", type=pathlib.Path, required=True)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--only", default="")
    parser.add_argument("days", nargs="+", type=Day.parse)
    args = parser.parse_args()
    mechanisms = [_ALL, *(one.value for one in _mechanisms.Mechanism)]
    mechanisms = [
        mechanism
        for mechanism in mechanisms
        if args.only in mechanism or mechanism == _ALL
    ]
    folders = {
        mechanism: clone_without(args.scratch, mechanism)
        for mechanism in mechanisms
    }
    subprocess.run([args.bench, "build"], cwd=folders[_ALL], check=True)
    for mechanism in mechanisms[1:]:
        shutil.copytree(
            folders[_ALL] / "target",
            folders[mechanism] / "target",
            symlinks=True,
        )
    tasks = [(mechanism, day) for day in args.days for mechanism in mechanisms]
    with concurrent.futures.ThreadPoolExecutor(args.at_once) as pool:
        worths = list(
            pool.map(
                lambda task: run_day(args.bench, folders[task[0]], *task),
                tasks,
            )
        )
    for folder in folders.values():
        copy_journal_back(folder)
    print_table(mechanisms, args.days, dict(zip(tasks, worths)))


def print_table(
    mechanisms: list[str],
    days: list[Day],
    worth_by_task: dict[tuple[str, Day], float],
) -> None:
    """Print a row for each mechanism: score by day, and the mean loss."""
    titles = list(dict.fromkeys(day.title for day in days))
    print("| without | " + " | ".join(titles) + " | worth of it, mean |")
    print("|---" * (len(titles) + 2) + "|")
    for mechanism in mechanisms:
        cells = []
        for title in titles:
            found = [
                worth_by_task[(mechanism, day)]
                for day in days
                if day.title == title
            ]
            cells.append(" ".join(f"{worth:.3f}" for worth in found))
        losses = [
            worth_by_task[(_ALL, day)] - worth_by_task[(mechanism, day)]
            for day in days
        ]
        mean = statistics.fmean(losses)
        print(f"| {mechanism} | " + " | ".join(cells) + f" | {mean:+.3f} |")


if __name__ == "__main__":
    main()
