"""Computes a daemon's control traffic and processor time at the target size.

The slopes below were printed by `bench.capacity.capacity_slopes` and
`bench.capacity`; docs/CAPACITY.md states when, and the load of the machine.
"""

import math
from typing import final

import click
import msgspec

from bench.capacity import capacity_sizes as sizes

BUDGET_PROCESSOR = 0.031
BUDGET_BYTES = 28e3

_ADMISSION_BYTES = (116, 58)
_RELEASE_BYTES = 44
_DISPLACED_BYTES = 118
_RENEWAL_FRAME_BYTES = 46
_RENEWED_SLOT_BYTES = 55
_REPORT_FRAME_BYTES = (96, 89)
_EMPTY_EXCHANGE_BYTES = 71
_FACT_BYTES = 150
_PUSHED_ROW_BYTES = 347
_LIST_BYTES = 1.296e6
_SLICE_FRAME_BYTES = (73, 82)
_POLL_BYTES = (68, 186)

_ADMISSION_MICROS = 131.1 + 14.5
_RELEASE_MICROS = 46.0
_RANK_MICROS = 38.1
_RENEWAL_MICROS = 44.7 + 24.6
_REPORT_MICROS = 120.8 + 18.5
_POLL_MICROS = 82.7
_SLICE_MICROS = 110.8 + 9.4
_TEAM_OWNER_MICROS = 135.2
_ROW_MICROS = 72.1 + 8 * 23
_LIST_MICROS = 5044 + 2160 + 2000
_IDLE_PROCESSOR = 0.0078

_ADMISSIONS_PER_REQUEST = 1.3
_DISPLACED_PER_REQUEST = 0.05
_LIST_READS_PER_SECOND = 2.0
_RENEWAL_BUDGET = 2048
_RENEWAL_BYTES = 150
_REPORT_BYTES = 240
_COLLECTOR_BUDGET = 8192
_EXCHANGES_PER_SECOND = 3 / 0.5
_PUSH_FANOUT = 4
_CHANGES_PER_SECOND = 14000 / 86400
_EVENTS_PER_SECOND = 650 * 3 / 86400
_SENDS_PER_EVENT = 3 + 3 * 10
_DAEMON_EVENTS_PER_SECOND = (
    650 / 86400 * sizes.DAEMONS / (sizes.DAEMONS + sizes.REPLICAS)
)


@final
class Term(msgspec.Struct, frozen=True):
    """Cost of one mechanism to a daemon, per second."""

    name: str
    messages: float
    sent: float
    received: float
    processor: float


def _expected_distinct(draws: float, bins: float) -> float:
    """Return the expected number of bins that random draws hit."""
    return bins * (1 - math.exp(-draws / bins))


def _renewals(rate: float, running: float) -> tuple[float, float]:
    """Return the number of owners renewed at, and the renewal interval."""
    interval = 1.0
    for _ in range(50):
        owners_renewed = _expected_distinct(
            running + rate * interval, sizes.DAEMONS
        )
        interval = max(1.0, owners_renewed * _RENEWAL_BYTES / _RENEWAL_BUDGET)
    return owners_renewed, interval


def _owner_miss_share(rate: float) -> float:
    """Return the share of requests that need a ranking for a team's owner.

    Owners are cached until the membership changes.
    """
    admissions = rate / _DAEMON_EVENTS_PER_SECOND
    return _expected_distinct(admissions, sizes.TEAMS) / admissions


def terms() -> list[Term]:
    """Return all terms of a daemon's control work at the target size."""
    rate = sizes.REQUESTS_PER_SECOND / sizes.DAEMONS
    tokens = sizes.TOKENS_PER_SECOND / sizes.REQUESTS_PER_SECOND
    running = rate * tokens * sizes.TOKEN_INTERVAL
    admissions = rate * _ADMISSIONS_PER_REQUEST
    admission_bytes = admissions * sum(_ADMISSION_BYTES) + rate * (
        _RELEASE_BYTES + _DISPLACED_PER_REQUEST * _DISPLACED_BYTES
    )
    owners_renewed, interval = _renewals(rate, running)
    renewal_bytes = (
        owners_renewed * _RENEWAL_FRAME_BYTES + running * _RENEWED_SLOT_BYTES
    ) / interval
    owned = sizes.REPLICAS / sizes.DAEMONS
    owners = _expected_distinct(sizes.REPLICAS / sizes.POOLS, sizes.DAEMONS)
    report_interval = owners * _REPORT_BYTES / _COLLECTOR_BUDGET
    reports = _expected_distinct(owned, sizes.POOLS) / report_interval
    reports_received = owners / report_interval
    list_reads = _LIST_READS_PER_SECOND / sizes.DAEMONS
    slice_bytes = sum(_SLICE_FRAME_BYTES)
    ranked_micros = _owner_miss_share(rate) * _TEAM_OWNER_MICROS
    click.echo(
        f"requests {rate:.1f}/s, running {running:.0f}, owners told "
        f"{owners_renewed:.0f} every {interval:.1f} s, owners of a pool "
        f"{owners:.0f}, reports every {report_interval:.2f} s, owners of "
        f"teams ranked anew for {_owner_miss_share(rate):.0%} of asks"
    )
    return [
        Term("idle, as measured (50 daemons)", 0, 0, 0, _IDLE_PROCESSOR),
        Term(
            "asks, releases, displaced chats (entry and owner)",
            2 * admissions + rate,
            admission_bytes,
            admission_bytes,
            admissions * _ADMISSION_MICROS / 1e6
            + rate * (_RELEASE_MICROS + _RANK_MICROS) / 1e6,
        ),
        Term(
            "renewals (entry and owner)",
            owners_renewed / interval,
            renewal_bytes,
            renewal_bytes,
            owners_renewed / interval * _RENEWAL_MICROS / 1e6,
        ),
        Term(
            "load reports",
            reports,
            reports * _REPORT_FRAME_BYTES[0],
            reports * _REPORT_FRAME_BYTES[1],
            reports * _REPORT_MICROS / 2e6,
        ),
        Term(
            "exchanges, quiet",
            2 * _EXCHANGES_PER_SECOND,
            2 * _EXCHANGES_PER_SECOND * _EMPTY_EXCHANGE_BYTES,
            2 * _EXCHANGES_PER_SECOND * _EMPTY_EXCHANGE_BYTES,
            0,
        ),
        Term(
            "facts of 650 restarts and failures a day",
            _EVENTS_PER_SECOND * _SENDS_PER_EVENT,
            _EVENTS_PER_SECOND * _SENDS_PER_EVENT * _FACT_BYTES,
            _EVENTS_PER_SECOND * _SENDS_PER_EVENT * _FACT_BYTES,
            0,
        ),
        Term(
            "14,000 changes a day",
            _CHANGES_PER_SECOND * _PUSH_FANOUT,
            _CHANGES_PER_SECOND * _PUSH_FANOUT * _PUSHED_ROW_BYTES,
            _CHANGES_PER_SECOND * _PUSH_FANOUT * _PUSHED_ROW_BYTES,
            _CHANGES_PER_SECOND * _ROW_MICROS / 1e6,
        ),
        Term(
            "list of instances, read whole",
            list_reads,
            0,
            list_reads * _LIST_BYTES,
            list_reads * _LIST_MICROS / 1e6,
        ),
        Term(
            "looks at owned replicas",
            owned,
            owned * _POLL_BYTES[0],
            owned * _POLL_BYTES[1],
            owned * _POLL_MICROS / 1e6,
        ),
        Term(
            "collector of one pool (39 daemons only)",
            reports_received,
            reports_received * _REPORT_FRAME_BYTES[1],
            reports_received * _REPORT_FRAME_BYTES[0],
            reports_received * _REPORT_MICROS / 2e6,
        ),
        Term(
            "ceilings on rate, if every team has one",
            2 * rate,
            rate * slice_bytes,
            rate * slice_bytes,
            rate * (_SLICE_MICROS + ranked_micros) / 1e6,
        ),
        Term(
            "ceilings on running work besides, if every team has one",
            2 * rate,
            rate * slice_bytes,
            rate * slice_bytes,
            rate * _SLICE_MICROS / 1e6,
        ),
    ]


@click.command()
def main() -> None:
    """Print a table of the terms, and their sums."""
    found = terms()
    click.echo("\n| term | messages/s | sent | received | core |")
    click.echo("|---|---:|---:|---:|---:|")
    for term in found:
        click.echo(
            f"| {term.name} | {term.messages:.1f} | {term.sent / 1e3:.2f} "
            f"| {term.received / 1e3:.2f} | {term.processor:.2%} |"
        )
    for count, name in (
        (-3, "every daemon, no ceilings"),
        (-2, "a collector, no ceilings"),
        (-1, "a collector, all teams with a ceiling on rate"),
        (len(found), "a collector, all teams with both ceilings"),
    ):
        part = found[:count]
        sent = sum(term.sent for term in part)
        received = sum(term.received for term in part)
        processor = sum(term.processor for term in part)
        fits = processor <= BUDGET_PROCESSOR
        click.echo(
            f"\n{name}: {sent / 1e3:.1f} KB/s sent, {received / 1e3:.1f} KB/s "
            f"received, together {(sent + received) / 1e3:.1f} of "
            f"{BUDGET_BYTES / 1e3:.0f}; {processor:.2%} of a core "
            f"({'fits' if fits else 'does not fit'} in 3.1 %)"
        )


if __name__ == "__main__":
    main()
