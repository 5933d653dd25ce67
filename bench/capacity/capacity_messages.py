"""What messages between daemons, and looks at targets, cost on the wire."""

from collections.abc import Iterator
import contextlib
import subprocess
import sys
import time
from typing import final

import gevent
from gevent import event
import msgspec

from bench.capacity import capacity_sizes as sizes
from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import settings
from topazlug.peers import _peers
from topazlug.targets import _listed_targets
from topazlug.targets import _target_client
from topazlug.targets import _target_poller
from topazlug.targets import _targets

_HOST = "127.0.0.1"
_TIMEOUT = 10.0
_PEERS = 40
_CALLS = 4000
_LOOKS = 2000
_ENGINES = 40
_CONNECTIONS = 25
_CLOCK = _clock.SystemClock()
_Slope = sizes.Slope


@contextlib.contextmanager
def far_end(*arguments: str) -> Iterator[list[str]]:
    """Start a far end and give the words of its first line."""
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.capacity.capacity_far_end", *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        yield process.stdout.readline().split()[1:]
    finally:
        process.kill()
        process.wait()


def target_at(port: int, number: int = 0) -> _targets.Target:
    """Make a target on loopback."""
    return _targets.Target(
        replica=_ids.ReplicaId(f"pool-00-replica-{number:04}"),
        kind=_targets.TargetKind.ENGINE,
        group=_ids.GroupName("pool-00"),
        host=_HOST,
        port=port,
        zone="zone-1",
        incarnation=1_700_000_000_000,
        slots=128,
        leaving=False,
    )


@final
class _Pair:
    """One daemon's links and those of some peers, all in this process."""

    def __init__(self, peers: int) -> None:
        self._address_by_id: dict[_ids.DaemonId, _peers.Address] = {}
        self.heard = 0
        self.wanted = 0
        self.all_heard = event.Event()
        self.answer: msgspec.Struct = messages.Ack()
        self.near = self._made("near-0001")
        self.names = sizes.daemon_ids(peers)
        self.far = [self._made(name) for name in self.names]
        for name in self.names:
            self.near.call(name, _ask(), timeout=_TIMEOUT)

    def _made(self, name: str) -> _peers.PeerLinks:
        links = _peers.PeerLinks(
            daemon_id=_ids.DaemonId(name),
            incarnation=1_700_000_000_000,
            settings=settings.PeerSettings(secret="secret of the bench"),
            clock=_CLOCK,
            address_of=self._address_by_id.get,
            idle_seconds=600.0,
        )
        port = links.serve(host=_HOST, port=0)
        for kind in (
            messages.AdmitAsk,
            messages.Exchange,
            messages.Release,
            messages.Renew,
            messages.LoadReport,
            messages.SliceAsk,
            messages.Displaced,
            messages.ConfigPush,
        ):
            links.handle(kind, self._hear)
        self._address_by_id[_ids.DaemonId(name)] = _peers.Address(_HOST, port)
        return links

    def _hear(
        self, sender: _ids.DaemonId, message: object, reply: _peers.Reply
    ) -> None:
        self.heard += 1
        if self.heard == self.wanted:
            self.all_heard.set()
        if reply is not _peers.ignore_reply:
            reply(self.answer)

    def stop(self) -> None:
        """Close all."""
        for links in (self.near, *self.far):
            links.stop()


def _ask() -> messages.AdmitAsk:
    return messages.AdmitAsk(
        ask=1_234_567,
        group="pool-07",
        replica="pool-07-replica-0123",
        chat=2**63 + 5,
        team="team-01234",
    )


def _fact(number: int) -> messages.Fact:
    return _listed_targets.fact_from_target(target_at(8000, number))


def _held(number: int) -> messages.HeldPlace:
    return messages.HeldPlace(
        ask=1_234_000 + number,
        replica=f"pool-07-replica-{number:04}",
        team="team-01234",
    )


def _exchange(facts: int) -> messages.Exchange:
    return messages.Exchange(
        facts=[_fact(number) for number in range(facts)],
        digest=2**63 + 5,
        revision=1_234_567,
    )


def _summary() -> messages.LoadSummary:
    return messages.LoadSummary(
        group="pool-07", total=12800, replicas=156, interval=4.2
    )


def _report(loads: int) -> messages.LoadReport:
    entries = [
        messages.ReplicaLoad(replica=f"pool-07-replica-{n:04}", load=82)
        for n in range(loads)
    ]
    return messages.LoadReport(group="pool-07", loads=entries)


_SLICE_ASK = messages.SliceAsk(team="team-01234", want=1, unused=0, running=1)
_SLICE = messages.Slice(team="team-01234", lent=1, lapse=1.0, running_room=2)
_GRANTED = messages.AdmitReply(verdict=messages.Verdict.granted, load=82)
_CASES: list[tuple[str, msgspec.Struct, msgspec.Struct | None]] = [
    ("ask for a place", _ask(), _GRANTED),
    ("release of a place", messages.Release(asks=[1_234_567]), None),
    ("renewal, 1 place", messages.Renew(held=[_held(1)], pending=[]), None),
    (
        "renewal, 10 places",
        messages.Renew(held=[_held(n) for n in range(10)], pending=[]),
        None,
    ),
    ("load report, 1 replica", _report(1), _summary()),
    ("load report, 2 replicas", _report(2), _summary()),
    ("exchange, quiet", _exchange(0), _exchange(0)),
    ("exchange, 1 fact each way", _exchange(1), _exchange(1)),
    ("exchange, 16 facts each way", _exchange(16), _exchange(16)),
    ("push of 64 facts", _exchange(64), None),
    ("ask for a slice of a ceiling", _SLICE_ASK, _SLICE),
    (
        "note of a displaced chat",
        messages.Displaced(
            group="pool-07",
            home="pool-07-replica-0123",
            chat=2**63 + 5,
            replica="pool-07-replica-0124",
        ),
        None,
    ),
]


def frames() -> list[_Slope]:
    """Send each message alone and count the bytes, seal included."""
    pair = _Pair(1)
    found = []
    for name, message, answer in _CASES:
        for _ in range(2):
            sent, received = pair.near.bytes_sent, pair.near.bytes_received
            _exchange_one(pair, message, answer)
        there = pair.near.bytes_sent - sent
        back = pair.near.bytes_received - received
        found.append(_Slope(f"{name}: there", there, "B"))
        if answer is not None:
            found.append(_Slope(f"{name}: back", back, "B"))
    pair.stop()
    return found


def _exchange_one(
    pair: _Pair, message: msgspec.Struct, answer: msgspec.Struct | None
) -> None:
    if answer is not None:
        pair.answer = answer
        pair.near.call(pair.names[0], message, timeout=_TIMEOUT)
        return
    pair.wanted = pair.heard + 1
    pair.all_heard.clear()
    pair.near.send(pair.names[0], message)
    pair.all_heard.wait()


def calls() -> list[_Slope]:
    """Send messages to 40 peers in turn; each travels alone.

    The processor time is that of both ends; without what their handlers
    do, which is measured apart.
    """
    pair = _Pair(_PEERS)
    found = []
    for name, message, answer in _CASES:
        started = time.process_time()
        if answer is None:
            _send_all(pair, message)
        else:
            pair.answer = answer
            for number in range(_CALLS):
                peer = pair.names[number % _PEERS]
                pair.near.call(peer, message, timeout=_TIMEOUT)
        micros = (time.process_time() - started) / _CALLS * 1e6
        found.append(_Slope(f"{name}: both ends", micros, "µs"))
    pair.stop()
    return found


def _send_all(pair: _Pair, message: msgspec.Struct) -> None:
    for _ in range(_CALLS // _PEERS):
        pair.wanted = pair.heard + _PEERS
        pair.all_heard.clear()
        for name in pair.names:
            pair.near.send(name, message)
        pair.all_heard.wait()


@final
class _Signs:
    def publish_target(
        self,
        replica: _ids.ReplicaId,
        *,
        incarnation: int,
        state: messages.FactState,
    ) -> None:
        """Take no note."""


def _watch(
    listed: list[_targets.Target],
) -> tuple[_target_poller.TargetPoller, _target_client.TargetConnections]:
    directory = _targets.TargetDirectory(clock=_CLOCK, flap_window=60.0)
    directory.set_list(listed)
    connections = _target_client.TargetConnections(
        connect_timeout=2.0, clock=_CLOCK
    )
    watch = _target_poller.TargetPoller(
        owned=lambda: [target.replica for target in listed],
        targets=directory,
        connections=connections,
        publisher=_Signs(),
        report=lambda replica, running: None,
        interval=1.0,
        clock=_CLOCK,
    )
    return watch, connections


def probes() -> list[_Slope]:
    """Look at one target's load again and again."""
    with far_end("engine") as ports:
        target = target_at(int(ports[0]))
        watch, _ = _watch([target])
        watch.poll(target.replica)
        started = time.process_time()
        for _ in range(_LOOKS):
            watch.poll(target.replica)
        micros = (time.process_time() - started) / _LOOKS * 1e6
    return [_Slope("look at a target's load", micros, "µs")]


def idle_connections() -> list[_Slope]:
    """Keep connections to targets that wait for their next request."""
    with far_end("engine", "--ports", str(_ENGINES)) as ports:
        listed = [
            target_at(int(port), number) for number, port in enumerate(ports)
        ]
        watch, connections = _watch(listed)
        for target in listed:
            watch.poll(target.replica)
        before = sizes.resident_bytes()
        looks = [
            gevent.spawn(watch.poll, target.replica)
            for target in listed
            for _ in range(_CONNECTIONS)
        ]
        gevent.joinall(looks)
        del looks
        held = sizes.resident_bytes() - before
        connections.close()
    count = _ENGINES * (_CONNECTIONS - 1)
    return [_Slope("idle connection to a target", held / count, "B")]
