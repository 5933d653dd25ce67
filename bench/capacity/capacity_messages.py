"""Cost of messages between daemons and of polling targets."""

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
_POLLS = 2000
_ENGINES = 40
_CONNECTIONS = 25
_CLOCK = _clock.SystemClock()
_Slope = sizes.Slope


@contextlib.contextmanager
def start_far_end(*arguments: str) -> Iterator[list[str]]:
    """Run a far end and yield the words that follow READY."""
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
    """Return a target on loopback."""
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
    """Links of one daemon and of its peers, all in this process."""

    def __init__(self, peers: int) -> None:
        self._address_by_id: dict[_ids.DaemonId, _peers.Address] = {}
        self.received_count = 0
        self.expected_count = 0
        self.all_received = event.Event()
        self.answer: msgspec.Struct = messages.Ack()
        self.near = self._make_links("near-0001")
        self.names = sizes.daemon_ids(peers)
        self.far = [self._make_links(name) for name in self.names]
        for name in self.names:
            self.near.call(name, _ask(), timeout=_TIMEOUT)

    def _make_links(self, name: str) -> _peers.PeerLinks:
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
            links.handle(kind, self._receive)
        self._address_by_id[_ids.DaemonId(name)] = _peers.Address(_HOST, port)
        return links

    def _receive(
        self, sender: _ids.DaemonId, message: object, reply: _peers.Reply
    ) -> None:
        self.received_count += 1
        if self.received_count == self.expected_count:
            self.all_received.set()
        if reply is not _peers.ignore_reply:
            reply(self.answer)

    def stop(self) -> None:
        """Stop all links."""
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


def frame_sizes() -> list[_Slope]:
    """Send each message alone and count its bytes, MAC included."""
    pair = _Pair(1)
    slopes = []
    for name, message, answer in _CASES:
        for _ in range(2):
            sent, received = pair.near.bytes_sent, pair.near.bytes_received
            _exchange_one(pair, message, answer)
        there = pair.near.bytes_sent - sent
        back = pair.near.bytes_received - received
        slopes.append(_Slope(f"{name}: there", there, "B"))
        if answer is not None:
            slopes.append(_Slope(f"{name}: back", back, "B"))
    pair.stop()
    return slopes


def _exchange_one(
    pair: _Pair, message: msgspec.Struct, answer: msgspec.Struct | None
) -> None:
    if answer is not None:
        pair.answer = answer
        pair.near.call(pair.names[0], message, timeout=_TIMEOUT)
        return
    pair.expected_count = pair.received_count + 1
    pair.all_received.clear()
    pair.near.send(pair.names[0], message)
    pair.all_received.wait()


def calls() -> list[_Slope]:
    """Send messages to 40 peers in turn, each in its own frame.

    The processor time is that of both ends, without the work of their
    handlers, which is measured separately.
    """
    pair = _Pair(_PEERS)
    slopes = []
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
        slopes.append(_Slope(f"{name}: both ends", micros, "µs"))
    pair.stop()
    return slopes


def _send_all(pair: _Pair, message: msgspec.Struct) -> None:
    for _ in range(_CALLS // _PEERS):
        pair.expected_count = pair.received_count + _PEERS
        pair.all_received.clear()
        for name in pair.names:
            pair.near.send(name, message)
        pair.all_received.wait()


@final
class _IgnoringPublisher:
    def publish_target(
        self,
        replica: _ids.ReplicaId,
        *,
        incarnation: int,
        state: messages.FactState,
    ) -> None:
        """Ignore the state."""


def _make_poller(
    listed: list[_targets.Target],
) -> tuple[_target_poller.TargetPoller, _target_client.TargetConnections]:
    directory = _targets.TargetDirectory(clock=_CLOCK, flap_window=60.0)
    directory.set_list(listed)
    connections = _target_client.TargetConnections(
        connect_timeout=2.0, clock=_CLOCK
    )
    poller = _target_poller.TargetPoller(
        owned=lambda: [target.replica for target in listed],
        targets=directory,
        connections=connections,
        publisher=_IgnoringPublisher(),
        report=lambda replica, running: None,
        interval=1.0,
        clock=_CLOCK,
    )
    return poller, connections


def target_polls() -> list[_Slope]:
    """Measure repeated polls of one target's load."""
    with start_far_end("engine") as ports:
        target = target_at(int(ports[0]))
        poller, _ = _make_poller([target])
        poller.poll(target.replica)
        started = time.process_time()
        for _ in range(_POLLS):
            poller.poll(target.replica)
        micros = (time.process_time() - started) / _POLLS * 1e6
    return [_Slope("look at a target's load", micros, "µs")]


def idle_connections() -> list[_Slope]:
    """Measure the memory of idle connections to targets."""
    with start_far_end("engine", "--ports", str(_ENGINES)) as ports:
        listed = [
            target_at(int(port), number) for number, port in enumerate(ports)
        ]
        poller, connections = _make_poller(listed)
        for target in listed:
            poller.poll(target.replica)
        before = sizes.resident_bytes()
        polls = [
            gevent.spawn(poller.poll, target.replica)
            for target in listed
            for _ in range(_CONNECTIONS)
        ]
        gevent.joinall(polls)
        del polls
        held = sizes.resident_bytes() - before
        connections.close()
    count = _ENGINES * (_CONNECTIONS - 1)
    return [_Slope("idle connection to a target", held / count, "B")]
