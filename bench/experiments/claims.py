"""Claims per second under a limit on the table's writes per second.

Starts the stand-in platform as a separate process. Each claimer claims a new
key, finishes the claim, and continues with the next key. The claim managers
of the daemons run in this process.
"""

from gevent import monkey

monkey.patch_all()

from collections.abc import Iterator  # noqa: E402
import contextlib  # noqa: E402
import pathlib  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from typing import final  # noqa: E402
import uuid  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
from geventhttpclient import httplib  # noqa: E402
import msgspec  # noqa: E402

from topazlug import _clock  # noqa: E402
from topazlug import _errors  # noqa: E402
from topazlug import _ids  # noqa: E402
from topazlug.claims import _claim_commit  # noqa: E402
from topazlug.claims import _claim_rows  # noqa: E402
from topazlug.claims import _claims  # noqa: E402
from topazlug.store import _object_client  # noqa: E402
from topazlug.store import _table_client  # noqa: E402

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).parents[2]
CLAIM_SECONDS = 5.0
SETTLE_SECONDS = 20.0
MAX_RETRY_AFTER = 0.2
MAX_PLATFORM_SECONDS = 600.0
ANSWER = b'{"registration": 4711}'
TITLE = (
    "claimers  claims/s  refused/s  transacts/s  rows/write"
    "  p50 ms  p99 ms  unsettled"
)
LINE = "{:8d}  {:8.0f}  {:9.1f}  {:11.0f}  {:10.1f}  {:6.1f}  {:6.1f}  {:9d}"


@final
class Counters(msgspec.Struct, kw_only=True):
    """Counters of the stand-in platform."""

    writes: int
    transact_calls: int


@final
class Tally:
    """Latencies and rejections seen by the claimers of one run."""

    def __init__(self) -> None:
        self.latencies: list[float] = []
        self.refused = 0

    def percentile(self, share: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        ordered = sorted(self.latencies)
        if not ordered:
            return float("nan")
        return ordered[int(share * (len(ordered) - 1))] * 1000.0


@contextlib.contextmanager
def platform(writes_per_second: float, delay: float) -> Iterator[int]:
    """Run the stand-in platform and yield its port."""
    command = [sys.executable, "-m", "standins", "platform"]
    options = [
        f"--writes-per-second={writes_per_second}",
        f"--max-seconds={MAX_PLATFORM_SECONDS}",
    ]
    process = subprocess.Popen(
        [*command, *options], stdout=subprocess.PIPE, text=True, cwd=ROOT
    )
    try:
        assert process.stdout is not None
        port = int(process.stdout.readline().split()[1])
        if delay:
            _request(port, "POST", "/faults", {"delay": delay})
        yield port
    finally:
        process.terminate()
        process.wait()


def _request(port: int, method: str, path: str, value: object = None) -> bytes:
    connection = httplib.HTTPConnection(HOST, port)
    connection.request(method, path, msgspec.json.encode(value))
    body: bytes = connection.getresponse().read()
    connection.close()
    return body


def counters(port: int) -> Counters:
    """Fetch the current counters of the stand-in platform."""
    return msgspec.json.decode(
        _request(port, "GET", "/counters"), type=Counters
    )


def make_claim_manager(
    port: int, name: str, max_batch: int, min_interval: float
) -> _claims.ClaimManager:
    """Return a claim manager of one daemon, with its own connections."""
    clock = _clock.SystemClock()
    store = _table_client.TableClient(
        host=HOST, port=port, timeout=2.0, clock=clock
    )
    objects = _object_client.ObjectClient(
        host=HOST, port=port, timeout=2.0, clock=clock
    )
    return _claims.ClaimManager(
        store=store,
        objects=objects,
        daemon_id=_ids.DaemonId(name),
        clock=clock,
        max_kept_bytes=1 << 20,
        max_batch=max_batch,
        min_interval=min_interval,
    )


def run_claimer(
    manager: _claims.ClaimManager, tally: Tally, until: float
) -> None:
    """Claim and finish new keys, one after the other."""
    while time.monotonic() < until:
        started = time.monotonic()
        try:
            claim = manager.claim(
                team=_ids.TeamName("bench"),
                service="registration",
                key=uuid.uuid4().hex,
                fingerprint=_claim_rows.fingerprint(
                    method="POST", path="/", body=b""
                ),
                deadline=started + CLAIM_SECONDS,
            )
        except _errors.RequestError as error:
            tally.refused += 1
            gevent.sleep(min(error.retry_after or 0.0, MAX_RETRY_AFTER))
            continue
        assert isinstance(claim, _claims.Claim)
        claim.may_send()
        tally.latencies.append(time.monotonic() - started)
        claim.finish(200, [("Content-Type", "application/json")], ANSWER)


def run(
    port: int,
    managers: list[_claims.ClaimManager],
    claimers: int,
    seconds: float,
) -> str:
    """Run claimers concurrently and return a line of the table."""
    tally = Tally()
    before = counters(port)
    started = time.monotonic()
    jobs = [
        gevent.spawn(
            run_claimer, managers[n % len(managers)], tally, started + seconds
        )
        for n in range(claimers)
    ]
    gevent.joinall(jobs, raise_error=True)
    unsettled = sum(one.wait_finalized(SETTLE_SECONDS) for one in managers)
    elapsed = time.monotonic() - started
    after = counters(port)
    writes = after.writes - before.writes
    claims = len(tally.latencies)
    return LINE.format(
        claimers,
        claims / elapsed,
        tally.refused / elapsed,
        (after.transact_calls - before.transact_calls) / elapsed,
        2 * claims / max(writes, 1),
        tally.percentile(0.5),
        tally.percentile(0.99),
        unsettled,
    )


@click.command()
@click.option("--writes-per-second", default=300.0, help="0 for no limit.")
@click.option("--daemons", default=9, help="Number of claim managers.")
@click.option("--max-batch", default=_claim_commit.MAX_BATCH)
@click.option("--min-interval", default=_claim_commit.MIN_INTERVAL_SECONDS)
@click.option("--delay", default=0.0, help="Delay of each answer, in seconds.")
@click.option("--seconds", default=4.0, help="Duration of each line's run.")
@click.option(
    "--most", default=64, help="Maximum of claimers; doubles from 1."
)
def main(
    writes_per_second: float,
    daemons: int,
    max_batch: int,
    min_interval: float,
    delay: float,
    seconds: float,
    most: int,
) -> None:
    """Print claims per second by number of claimers."""
    click.echo(
        f"{daemons} daemons, {writes_per_second:g} writes/s, batches up to "
        f"{max_batch}, {min_interval * 1000:g} ms apart, answers delayed by "
        f"{delay * 1000:g} ms"
    )
    click.echo(TITLE)
    claimers = 1
    while claimers <= most:
        # Each line gets a new platform, so that writes of the previous
        # line do not count against its write limit.
        with platform(writes_per_second, delay) as port:
            managers = [
                make_claim_manager(port, f"d{n}", max_batch, min_interval)
                for n in range(daemons)
            ]
            click.echo(run(port, managers, claimers, seconds))
        claimers *= 2


if __name__ == "__main__":
    main()
