"""Measures the cost of connections between daemons.

All ends run in one process, so that a call's processor time is that of both
ends together.
"""

import gc
import os
import resource
import time
import tracemalloc

import click
import gevent
import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import settings as _settings
from topazlug.membership import _facts
from topazlug.peers import _peer_connections
from topazlug.peers import _peers

LOCALHOST = "127.0.0.1"
TIMEOUT = 30.0
SETTLE_SECONDS = 0.5
CONCURRENT_CALLERS = 16


class _Fleet:
    def __init__(self) -> None:
        self._address_by_id: dict[_ids.DaemonId, _peers.Address] = {}
        self._links: list[_peers.PeerLinks] = []

    def make(self, name: str) -> _peers.PeerLinks:
        """Start the links of a daemon that admits every request."""
        links = _peers.PeerLinks(
            daemon_id=_ids.DaemonId(name),
            incarnation=1,
            settings=_settings.PeerSettings(
                secret="bench secret of the fleet"
            ),
            clock=_clock.SystemClock(),
            address_of=self._address_by_id.get,
            idle_seconds=600.0,
        )
        port = links.serve(host=LOCALHOST, port=0)
        links.handle(messages.AdmitAsk, _grant)
        links.handle(messages.Exchange, _echo)
        address = _peers.Address(LOCALHOST, port)
        self._address_by_id[_ids.DaemonId(name)] = address
        self._links.append(links)
        return links

    def stop(self) -> None:
        """Stop all links."""
        for links in self._links:
            links.stop()


def _grant(
    _peer: _ids.DaemonId, _message: msgspec.Struct, reply: _peers.Reply
) -> None:
    reply(messages.AdmitReply(verdict=messages.Verdict.granted, load=7))


def _echo(
    _peer: _ids.DaemonId, message: msgspec.Struct, reply: _peers.Reply
) -> None:
    reply(message)


def _ask() -> messages.AdmitAsk:
    return messages.AdmitAsk(
        ask=123456,
        group="pool-a",
        replica="pool-a-replica-1",
        chat=2**63 + 5,
        team="hotel-group-7",
    )


def _empty_exchange() -> messages.Exchange:
    return messages.Exchange(facts=[], digest=2**63 + 5, revision=123456)


def _measure_calls(count: int, callers: int) -> tuple[float, float, float]:
    fleet = _Fleet()
    dialling = fleet.make("a")
    fleet.make("b")
    to = _ids.DaemonId("b")
    dialling.call(to, _ask(), timeout=TIMEOUT)

    def run() -> None:
        for _ in range(count // callers):
            dialling.call(to, _ask(), timeout=TIMEOUT)

    bytes_before = dialling.bytes_sent + dialling.bytes_received
    started, processor = time.perf_counter(), time.process_time()
    gevent.joinall([gevent.spawn(run) for _ in range(callers)])
    seconds = time.perf_counter() - started
    processor = time.process_time() - processor
    bytes_moved = dialling.bytes_sent + dialling.bytes_received - bytes_before
    fleet.stop()
    return count / seconds, processor / count * 1e6, bytes_moved / count


def _resident_bytes() -> int:
    gc.collect()
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _measure_links(count: int) -> tuple[float, float, float]:
    fleet = _Fleet()
    center = fleet.make("center")
    names = [_ids.DaemonId(f"peer-{number}") for number in range(count)]
    for name in names:
        fleet.make(name)
    gevent.sleep(SETTLE_SECONDS)
    before = _resident_bytes()
    processor = time.process_time()
    for name in names:
        center.call(name, _empty_exchange(), timeout=TIMEOUT)
    open_micros = (time.process_time() - processor) / count * 1e6
    both_ends = (_resident_bytes() - before) / count
    for _ in range(20):
        for name in names:
            center.call(name, _empty_exchange(), timeout=TIMEOUT)
    used = (_resident_bytes() - before) / count
    fleet.stop()
    return open_micros, both_ends, used


def _measure_exchange() -> tuple[float, float]:
    fleet = _Fleet()
    dialling = fleet.make("a")
    fleet.make("b")
    to = _ids.DaemonId("b")
    counts = []
    for _ in range(3):
        dialling.call(to, _empty_exchange(), timeout=TIMEOUT)
        counts.append((dialling.bytes_sent, dialling.bytes_received))
    fleet.stop()
    handshake = sum(counts[0]) - (sum(counts[2]) - sum(counts[1]))
    return sum(counts[2]) - sum(counts[1]), handshake


def _measure_fact_set(members: int) -> tuple[float, float, float]:
    tracemalloc.start()
    fact_set = _facts.FactSet(clock=_clock.SystemClock())
    for number in range(members):
        fact_set.merge(
            messages.Fact(
                kind=messages.FactKind.daemon,
                subject=f"daemon-{number}",
                incarnation=1700000000000 + number,
                sequence=3,
                state=messages.FactState.live,
                host=f"10.0.{number % 250}.{number // 250}",
                port=7001,
                zone="mvd-centro",
            )
        )
    held = tracemalloc.get_traced_memory()[0] / members
    tracemalloc.stop()
    facts = fact_set.next_chunk(members)
    whole = messages.Exchange(facts=facts, digest=fact_set.digest, revision=1)
    size = len(msgspec.msgpack.encode(whole)) / members
    started = time.process_time()
    other = _facts.FactSet(clock=_clock.SystemClock())
    for fact in facts:
        other.merge(fact)
    merged = (time.process_time() - started) / members * 1e6
    return held, size, merged


def _row(name: str, value: float, unit: str) -> None:
    click.echo(f"{name:<54} {value:>10,.1f} {unit}")


@click.command()
@click.option("--calls", default=20000, show_default=True)
@click.option("--links", default=[50, 200, 400], multiple=True, type=int)
@click.option("--members", default=880, show_default=True)
def main(calls: int, links: tuple[int, ...], members: int) -> None:
    """Print a table of the costs of peer connections and fact sets."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    _row("file descriptors allowed", soft, "")
    for callers in (1, CONCURRENT_CALLERS):
        rate, processor, bytes_moved = _measure_calls(calls, callers)
        _row(f"admission calls, {callers} at once", rate, "calls/s")
        _row("  processor time, both ends", processor, "us/call")
        _row("  bytes, both ways", bytes_moved, "B/call")
    exchange, handshake = _measure_exchange()
    _row("quiet exchange, both ways", exchange, "B")
    _row("handshake, both ways", handshake, "B")
    for count in links:
        open_micros, both_ends, used = _measure_links(count)
        _row(f"{count} links: opening, both ends", open_micros, "us/link")
        _row("  resident once opened, both ends", both_ends, "B/link")
        _row("  resident after 20 more calls each", used, "B/link")
    held, size, merged = _measure_fact_set(members)
    _row(f"book of {members} daemons: memory", held, "B/fact")
    _row("  sent whole", size, "B/fact")
    _row("  merged", merged, "us/fact")
    _row("largest batch of frames", _peer_connections.BATCH_BYTES, "B")


if __name__ == "__main__":
    main()
