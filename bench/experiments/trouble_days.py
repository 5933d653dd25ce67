"""Days with one kind of disturbance, or with two that aggravate each other.

A disturbance is a fault or planned work. Writes a day file for each into a
folder, runs them with the users' bench and prints a table. Each disturbance
occurs twice in a day, at different times.

    python -m bench.experiments.trouble_days --bench PROGRAM --site FILE \\
        [--only WORD]
"""

import argparse
import concurrent.futures
import pathlib
import re
import subprocess
import sys
from typing import Any
from typing import NamedTuple

FOLDER = pathlib.Path(__file__).parents[2] / "deploy" / "days"
_FIRST_AT = 4.0
_SECOND_AT = 19.0
_SEED = 20261
_LINE = re.compile(r"^(\S+)\s+\d+/\d+\s+([\d.-]+)\s+([\d.-]+)\s+([\d.-]+)")


class Disturbance(NamedTuple):
    """One entry of a day, without its time."""

    kind: str
    fields: dict[str, Any]

    @property
    def is_planned(self) -> bool:
        """Return whether it is planned work, such as a release."""
        return self.kind in _PLANNED


_PLANNED = {
    "release",
    "scale_out",
    "scale_in",
    "roll_term",
    "add_nodes",
    "hup",
    "config_change",
    "config_storm",
    "big_config",
    "revoke",
}


def _variants(kind: str, variants: str, **fields: Any) -> list[Disturbance]:
    """Return one entry for each variant; a dash stands for no variant."""
    return [
        Disturbance(kind, fields if how == "-" else {**fields, "how": how})
        for how in variants.split("|")
    ]


ALONE = [
    *_variants("burst", "-", x=2.0, for_s=5.0),
    *_variants("hot_key", "-", share=0.4, for_s=6.0),
    *_variants("hot_tenant", "-", x=8.0, for_s=6.0),
    *_variants("retry_abuse", "-", share=0.4, x=3.0, for_s=5.0),
    *_variants("give_up", "-", share=0.4, for_s=5.0),
    *_variants("srv_crash", "-|dark|gone", share=0.3, for_s=5.0),
    *_variants("srv_slow", "-", share=0.3, x=5.0, for_s=6.0),
    *_variants(
        "srv_grey",
        "errors|shed|busy|hang|reset|mute|slow|errors all",
        share=0.3,
        x=0.5,
        for_s=6.0,
    ),
    *_variants("release", "-", share=1.0, gap_s=1.0),
    *_variants("scale_out", "-", share=0.4, gap_s=2.0),
    *_variants("scale_in", "-|spot", share=0.3),
    *_variants("answer_lost", "-|reset", share=0.6, x=0.2, for_s=5.0),
    *_variants(
        "garble", "-|extra|extra late|unframed|early", share=0.6, x=0.1
    ),
    *_variants("node_kill", "-|power", share=0.35, for_s=4.0),
    *_variants("node_freeze", "-", share=0.35, for_s=4.0),
    *_variants("node_slow", "-", share=0.35, x=6.0, for_s=5.0),
    *_variants("roll_term", "-|busy", share=1.0, gap_s=1.5),
    *_variants("herd_kill", "-|off", share=1.0, for_s=2.0),
    *_variants("clock_step", "ahead|back", share=0.5, x=4000.0, for_s=5.0),
    *_variants("hup", "-", share=1.0, gap_s=2.0),
    *_variants("core_cut", "refuse|reset|-", count=3, for_s=5.0),
    *_variants("node_cut", "-|all|servers|reset", share=0.35, for_s=6.0),
    *_variants("lossy", "-", x=0.05, for_s=6.0),
    *_variants("platform_down", "silent|busy|reset|silent lapse", for_s=6.0),
    *_variants(
        "platform_down",
        "nodes busy|nodes many|nodes reset|nodes revoke meet drain",
        share=0.4,
        for_s=8.0,
    ),
    *_variants("platform_slow", "-", x=80.0, for_s=6.0),
    *_variants("platform_lost", "-|late", x=0.5, for_s=6.0),
    *_variants("platform_compact", "-|drain", x=6.0, for_s=10.0),
    *_variants("config_storm", "-", gap_s=0.1, for_s=5.0),
    *_variants("config_change", "route|weights|timeout|tenant"),
    *_variants("big_config", "-", count=400),
    *_variants("revoke", "-|last", count=3, gap_s=0.5),
    *_variants("srv_cut", "-|one_way|reset|some|fronts", share=0.3, for_s=6.0),
    *_variants("replace_with_reuse", "-|drain|dark", share=0.3),
    *_variants("reset_conns", "-", share=0.5, x=0.8),
]
TOGETHER = {
    "outage-and-release": [
        Disturbance("platform_down", {"how": "silent", "for_s": 8.0}),
        Disturbance("release", {"share": 1.0, "gap_s": 1.0}),
    ],
    "store-for-some-and-revoke": [
        Disturbance(
            "platform_down",
            {"how": "nodes reset meet", "share": 0.4, "for_s": 8.0},
        ),
        Disturbance("revoke", {"count": 3, "gap_s": 0.5}),
    ],
    "rolling-stop-and-burst": [
        Disturbance("roll_term", {"how": "busy", "gap_s": 1.0}),
        Disturbance("burst", {"x": 1.8, "for_s": 8.0}),
    ],
    "kill-of-all-and-configuration": [
        Disturbance("herd_kill", {"share": 1.0, "for_s": 2.0}),
        Disturbance("config_change", {"how": "route"}),
    ],
    "clock-and-lost-history": [
        Disturbance("clock_step", {"how": "back", "x": 4000.0, "for_s": 6.0}),
        Disturbance("platform_compact", {"how": "drain", "x": 6.0}),
    ],
    "freeze-and-drain": [
        Disturbance("node_freeze", {"share": 0.35, "for_s": 4.0}),
        Disturbance("scale_in", {"share": 0.3}),
    ],
    "dark-replicas-and-lost-packets": [
        Disturbance("srv_crash", {"how": "dark", "share": 0.3, "for_s": 6.0}),
        Disturbance("lossy", {"x": 0.05, "for_s": 6.0}),
    ],
}


def _format_toml(value: Any) -> str:
    if isinstance(value, str):
        return f'"{value}"'
    return str(value)


def _format_entry(disturbance: Disturbance, at: float) -> str:
    fields = {"at": at, "kind": disturbance.kind, **disturbance.fields}
    inside = ", ".join(
        f"{key} = {_format_toml(v)}" for key, v in fields.items()
    )
    return f"  {{ {inside} }},"


def _format_day(name: str, disturbances: list[Disturbance]) -> str:
    lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {_SEED}"]
    for title, is_planned in (("plan", True), ("faults", False)):
        lines.append(f"{title} = [")
        for disturbance in disturbances:
            if disturbance.is_planned is is_planned:
                lines.append(_format_entry(disturbance, _FIRST_AT))
                lines.append(_format_entry(disturbance, _SECOND_AT))
        lines.append("]")
    return "\n".join(lines) + "\n"


def write_days() -> list[pathlib.Path]:
    """Write all day files and return their paths."""
    FOLDER.mkdir(exist_ok=True)
    days = dict(TOGETHER)
    for disturbance in ALONE:
        how = disturbance.fields.get("how", "")
        name = "-".join([disturbance.kind, *how.split()]).replace("_", "-")
        days[name] = [disturbance]
    paths = []
    for name, disturbances in days.items():
        path = FOLDER / f"{name}.toml"
        path.write_text(_format_day(name, disturbances))
        paths.append(path)
    return paths


def _run_day(bench: str, site: str, path: pathlib.Path) -> str:
    command = [bench, "run", site, str(path), "--jobs", "1"]
    command += ["--why", f"trouble of one kind: {path.stem}"]
    done = subprocess.run(command, capture_output=True, text=True)
    broken = [
        line.strip()
        for line in done.stdout.splitlines()
        if re.match(r"\s*(rule|broken|BROKEN|short of|[A-Z]{4,}:?\s)", line)
    ]
    for line in done.stdout.splitlines():
        found = _LINE.match(line)
        if found:
            worth, served = found[3], found[4]
            violations = "; ".join(broken)[:160] or "-"
            return f"| {path.stem} | {worth} | {served} | {violations} |"
    return f"| {path.stem} | not played | | {done.stderr.strip()[:80]} |"


def main() -> None:
    """Write the days, run them and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True)
    parser.add_argument("--only", default="")
    parser.add_argument("--at-once", type=int, default=4)
    args = parser.parse_args()
    paths = [path for path in write_days() if args.only in path.stem]
    print("| day | worth | served | rules and floors |\n|---|---|---|---|")
    with concurrent.futures.ThreadPoolExecutor(args.at_once) as pool:
        for row in pool.map(
            lambda path: _run_day(args.bench, args.site, path), paths
        ):
            print(row)
            sys.stdout.flush()


if __name__ == "__main__":
    main()
