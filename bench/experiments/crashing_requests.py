"""Replays requests that crash replicas, and crashes that no request causes.

Without sockets and daemons: callers, replicas and a table whose rows reach
each daemon after a lag. What decides is the product's own guard.

    python -m bench.experiments.crashing_requests [--seeds N]
"""

import argparse
from collections.abc import Callable
import datetime
import functools
import heapq
import itertools
import random
import statistics
from typing import Any
from typing import NamedTuple

import msgspec

from topazlug import _errors
from topazlug import _ids
from topazlug.crashes import _crash_guard
from topazlug.crashes import _crash_records
from topazlug.targets import _target_runs
from topazlug.targets import _targets

_GROUP = _ids.GroupName("engines")
_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
_SETTLED_SECONDS = 1.01
_CRASHER = "crasher"


class Load(NamedTuple):
    """What is played.

    Attributes
    ----------
    daemons, replicas : int
        How many.
    rate, seconds : float
        Ordinary requests a second, and how long each runs.
    crashers : int
        Requests that crash replicas.
    every : float
        Seconds between two attempts of one of them.
    at_once : int
        Attempts of one that come in the same moment.
    attempts : int
        Replicas that one attempt may be sent to.
    repeats : int
        How often callers of ordinary requests repeat what failed.
    crash_rate : float
        Replicas that crash by themselves, a second, all together.
    lag : float
        Seconds until a row is read by all daemons.
    lost : float
        Share of crashes that a daemon with requests there does not see.
    back_after : float
        Seconds until a replica is back.
    length : float
        Seconds played.
    """

    daemons: int = 9
    replicas: int = 5
    rate: float = 60.0
    seconds: float = 1.0
    crashers: int = 1
    every: float = 1.0
    at_once: int = 1
    attempts: int = 1
    repeats: int = 1
    crash_rate: float = 0.0
    lag: float = 0.3
    lost: float = 0.0
    back_after: float = 3.0
    length: float = 60.0


LOADS = {
    "nine daemons": Load(),
    "repeated at once by three": Load(at_once=3, every=0.5),
    "routes with repeats": Load(attempts=2, repeats=3),
    "two such requests": Load(crashers=2),
    "news after 3 s": Load(lag=3.0),
    "a third of the sightings lost": Load(lost=0.33),
    "69 daemons": Load(daemons=69, replicas=45, rate=400.0),
    "195 daemons": Load(daemons=195, replicas=37, rate=500.0),
    "880 daemons": Load(daemons=880, replicas=400, rate=3000.0, length=20.0),
    "beside crashes of their own": Load(crash_rate=1.0, repeats=3),
    "crashes of their own only": Load(crashers=0, crash_rate=1.0, attempts=2),
    "the same, repeated at once": Load(
        crashers=0, crash_rate=1.0, attempts=2, repeats=4
    ),
}


class Result(msgspec.Struct):
    """What came of one play.

    Attributes
    ----------
    ended : list of int
        Replicas that ended under each request that crashes them.
    late : list of int
        Of these, how many 5 s and more after the third.
    blamed : int
        Ordinary requests that were blocked.
    hurt : int
        Runs of ordinary requests that a crash ended.
    """

    ended: list[int]
    late: list[int]
    blamed: int
    hurt: int


class _Clock:
    def __init__(self) -> None:
        self.seconds = 0.0

    def now(self) -> datetime.datetime:
        return _EPOCH + datetime.timedelta(seconds=self.seconds)

    def monotonic(self) -> float:
        return self.seconds

    def sleep(self, seconds: float) -> None:
        raise AssertionError("nothing waits in a replay")


class _Row(NamedTuple):
    at: float
    note: _crash_records.CrashRecord


class _Daemon:
    """One daemon's guard, and the table as it has read it."""

    def __init__(self, replay: "Replay", name: str) -> None:
        self._replay = replay
        self.runs = _target_runs.RunTracker(clock=replay.clock)
        self.guard = _crash_guard.CrashGuard(
            daemon=_ids.DaemonId(name),
            runs=self.runs,
            targets=replay.targets,
            clock=replay.clock,
        )
        self.guard.publisher = self
        self._read = 0

    def publish(self, notes: Any, *, remove: Any = ()) -> None:
        """Write notes; all daemons read them after the lag."""
        now = self._replay.clock.seconds
        self._replay.rows += [_Row(now, note) for note in notes]
        for note in notes:
            if isinstance(note, _crash_records.Block):
                self._replay.blocked.add(note.fingerprint)

    def read(self) -> None:
        """Take what has arrived by now, and decide if news have settled."""
        replay = self._replay
        newest = replay.clock.seconds - replay.load.lag
        seen = [row for row in replay.rows if row.at <= newest]
        if len(seen) == self._read:
            return
        self._read = len(seen)
        self.guard.set_shared_records(
            {
                _crash_records.record_key(row.note): row.note for row in seen
            }.values()
        )
        replay.later(_SETTLED_SECONDS, self.guard.decide)


class Replay:
    """One play of a load.

    Parameters
    ----------
    load : Load
        What is played.
    seed : int
        Decides who comes where.
    """

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.clock = _Clock()
        self.rows: list[_Row] = []
        self.blocked: set[str] = set()
        self.targets = _targets.TargetDirectory(
            clock=self.clock, flap_window=1.0
        )
        self.targets.set_list(
            [_target(f"listed-{number}") for number in range(load.replicas)]
        )
        self._random = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._names = itertools.count()
        self._daemons: dict[int, _Daemon] = {}
        self._running: dict[str, dict[_target_runs.Run, _Daemon]] = {}
        self._replica_by_run: dict[_target_runs.Run, str] = {}
        self._ended_at: dict[str, list[float]] = {}
        self._hurt = 0
        for _ in range(load.replicas):
            self._start_replica()

    def later(self, seconds: float, task: Callable[[], None]) -> None:
        """Do something at a later moment."""
        at = self.clock.seconds + seconds
        heapq.heappush(self._events, (at, next(self._order), task))

    def play(self) -> Result:
        """Play to the end."""
        for number in range(self.load.crashers):
            self._ended_at[f"{_CRASHER}{number}"] = []
            come = functools.partial(self._crasher_comes, number)
            self.later(2.0 + number, come)
        self.later(0.0, self._ordinary_comes)
        if self.load.crash_rate:
            self.later(1.0, self._crash_by_itself)
        while self._events:
            at, _, task = heapq.heappop(self._events)
            if at > self.load.length:
                break
            self.clock.seconds = at
            task()
        return self._result()

    def _result(self) -> Result:
        ended = list(self._ended_at.values())
        return Result(
            ended=[len(at) for at in ended],
            late=[
                sum(one > at[2] + 5.0 for one in at) if len(at) > 2 else 0
                for at in ended
            ],
            blamed=sum(not n.startswith(_CRASHER) for n in self.blocked),
            hurt=self._hurt,
        )

    def _start_replica(self) -> None:
        self._running[f"i-{next(self._names)}"] = {}

    def _daemon(self) -> _Daemon:
        number = self._random.randrange(self.load.daemons)
        if number not in self._daemons:
            self._daemons[number] = _Daemon(self, f"d{number}")
        return self._daemons[number]

    def _begin(
        self, daemon: _Daemon, name: str, attempt: str
    ) -> _target_runs.Run | None:
        """Begin a run somewhere; None if there is no replica."""
        if not self._running:
            return None
        replica = self._random.choice(list(self._running))
        run = daemon.runs.begin(
            _target(replica),
            fingerprint=_ids.Fingerprint(name),
            attempt=attempt,
        )
        self._running[replica][run] = daemon
        self._replica_by_run[run] = replica
        return run

    def _crash(self, replica: str) -> None:
        """End a replica with all that runs there."""
        runs = self._running.pop(replica, {})
        self.later(self.load.back_after, self._start_replica)
        by_daemon: dict[_Daemon, list[_target_runs.Run]] = {}
        for run, daemon in runs.items():
            by_daemon.setdefault(daemon, []).append(run)
            daemon.runs.finish(run, _target_runs.RunEnd.LOST)
        for daemon, own in by_daemon.items():
            if self._random.random() >= self.load.lost:
                daemon.read()
                daemon.guard._on_crash(_target(replica), own)
                self.later(_SETTLED_SECONDS, daemon.guard.decide)
        self._hurt += len(runs)

    def _crash_by_itself(self) -> None:
        if self._running:
            self._crash(self._random.choice(list(self._running)))
        wait = self._random.expovariate(self.load.crash_rate)
        self.later(wait, self._crash_by_itself)

    def _crasher_comes(self, number: int) -> None:
        for _ in range(self.load.at_once):
            attempt = f"a{next(self._names)}"
            self._try_crasher(
                self._daemon(), f"{_CRASHER}{number}", attempt, 1
            )
        wait = self._random.uniform(0.5, 1.5) * self.load.every
        self.later(wait, lambda: self._crasher_comes(number))

    def _try_crasher(
        self, daemon: _Daemon, name: str, attempt: str, tried: int
    ) -> None:
        if tried == 1 and self._is_refused(daemon, name):
            return
        run = self._begin(daemon, name, attempt)
        if run is None:
            return

        def crash() -> None:
            replica = self._replica_by_run[run]
            if replica not in self._running:
                return
            self._ended_at[name].append(self.clock.seconds)
            self._crash(replica)
            daemon.read()
            may = daemon.guard.may_repeat(run.fingerprint, run.target)
            if tried < self.load.attempts and may:
                self._try_crasher(daemon, name, attempt, tried + 1)

        self.later(self._random.uniform(0.06, 0.3), crash)

    def _is_refused(self, daemon: _Daemon, name: str) -> bool:
        daemon.read()
        try:
            daemon.guard.check(_ids.Fingerprint(name))
        except _errors.RequestBlocked:
            return True
        return False

    def _ordinary_comes(self) -> None:
        name = f"ordinary{next(self._names)}"
        self._try_ordinary(name, self.load.repeats, self.load.attempts)
        wait = self._random.expovariate(self.load.rate)
        self.later(wait, self._ordinary_comes)

    def _try_ordinary(self, name: str, repeats: int, attempts: int) -> None:
        """Have a caller send an ordinary request."""
        daemon = self._daemon()
        if self._is_refused(daemon, name):
            return
        attempt = f"a{next(self._names)}"
        self._run_ordinary(daemon, name, attempt, repeats, attempts)

    def _run_ordinary(
        self,
        daemon: _Daemon,
        name: str,
        attempt: str,
        repeats: int,
        attempts: int,
    ) -> None:
        run = self._begin(daemon, name, attempt)
        if run is None:
            return

        def end() -> None:
            replica = self._replica_by_run[run]
            if replica in self._running:
                del self._running[replica][run]
                daemon.runs.finish(
                    run, _target_runs.RunEnd.COMPLETE, status=200
                )
                return
            daemon.read()
            may = daemon.guard.may_repeat(run.fingerprint, run.target)
            if attempts > 1 and may:
                self._run_ordinary(
                    daemon, name, attempt, repeats, attempts - 1
                )
            elif repeats > 0:
                self._try_ordinary(name, repeats - 1, self.load.attempts)

        self.later(self._random.expovariate(1 / self.load.seconds), end)


def _target(replica: str) -> _targets.Target:
    return _targets.Target(
        replica=_ids.ReplicaId(replica),
        kind=_targets.TargetKind.ENGINE,
        group=_GROUP,
        host="10.0.0.1",
        port=1,
        zone="z",
        incarnation=1,
        slots=64,
        leaving=False,
    )


def main() -> None:
    """Print a line for each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = parser.parse_args().seeds
    print(f"{'load':32} ended (mean, most)  late (most)  blamed  hurt")
    for name, load in LOADS.items():
        played = [Replay(load, seed).play() for seed in range(seeds)]
        ended = [one for result in played for one in result.ended] or [0]
        late = [one for result in played for one in result.late] or [0]
        blamed = sum(result.blamed for result in played)
        hurt = statistics.mean(result.hurt for result in played)
        print(
            f"{name:32} {statistics.mean(ended):8.1f} {max(ended):8}"
            f" {max(late):12} {blamed:7} {hurt:7.0f}"
        )


if __name__ == "__main__":
    main()
