"""Cost of ranking, ownership, admission and quotas at the target size."""

import datetime
import heapq
import random
import statistics
from typing import Any

from bench.capacity import capacity_sizes as sizes
from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import settings
from topazlug._generated import table
from topazlug.limits import _quota_owner
from topazlug.limits import _quotas
from topazlug.routing import _group_load
from topazlug.routing import _owner
from topazlug.routing import _ownership
from topazlug.routing import _ranking
from topazlug.targets import _listed_targets
from topazlug.targets import _targets

_CHATS = 200
_CANDIDATES = 8
_ADMISSIONS = 2000
_HELD = 570
_SETTLE_SECONDS = 60.0
_PER_POOL = sizes.REPLICAS // sizes.POOLS
_Slope = sizes.Slope


class _Rules:
    def allowance_of(self, group: _ids.GroupName) -> int:
        """Allow no load beyond the bound."""
        return 0

    def bound_of(self, group: _ids.GroupName) -> float:
        return 1.5

    def slots_of(self, group: _ids.GroupName) -> int:
        return 128

    def batch_reserve_of(self, group: _ids.GroupName) -> float:
        return 0.15

    def weight_of(self, team: _ids.TeamName) -> float:
        return 1.0


def ranking() -> list[_Slope]:
    """Measure ranking of chats over a pool's replicas and over all."""
    found = []
    rng = random.Random(1)
    chats = [rng.getrandbits(64) for _ in range(_CHATS)]
    for count in (_PER_POOL, sizes.REPLICAS):
        names = sizes.replica_ids(count)
        micros = sizes.processor_micros(
            lambda: [
                _ranking.rank(names, chat, count=_CANDIDATES) for chat in chats
            ],
            count=_CHATS,
        )
        found.append(
            _Slope(f"rank a chat over {count} replicas", micros, "µs")
        )
    daemons = sizes.daemon_ids()
    teams = sizes.team_names(_CHATS)
    micros = sizes.processor_micros(
        lambda: [_quotas.owner_of(team, daemons) for team in teams],
        count=_CHATS,
    )
    name = f"owner of one team's ceiling among {sizes.DAEMONS} daemons"
    return [*found, _Slope(name, micros, "µs")]


def ownership() -> list[_Slope]:
    """Measure ownership updates after joins, departures and zone losses."""
    daemons = sizes.daemon_ids()
    replicas = sizes.replica_ids()
    table_ = _ownership.Ownership()
    update = table_.update
    lost_daemons = len(daemons) // sizes.ZONES
    kept_replicas = replicas[: -len(replicas) // sizes.ZONES]
    steps: list[tuple[str, list[_ids.DaemonId], list[_ids.ReplicaId]]] = [
        ("all from nothing", daemons, replicas),
        ("one daemon leaves", daemons[1:], replicas),
        ("one daemon joins", daemons, replicas),
        (
            f"{lost_daemons} daemons leave at once",
            daemons[lost_daemons:],
            replicas,
        ),
        (f"{lost_daemons} daemons join at once", daemons, replicas),
        ("half of the daemons leaves at once", daemons[::2], replicas),
        ("half of the daemons joins at once", daemons, replicas),
        ("an eighth of the replicas leaves", daemons, kept_replicas),
        ("an eighth of the replicas joins", daemons, replicas),
        ("nothing has changed", daemons, replicas),
    ]
    return [
        _Slope(
            f"owners updated: {name}",
            sizes.once_millis(lambda: update(daemons=some, replicas=known)),
            "ms",
        )
        for name, some, known in steps
    ]


def directory() -> list[_Slope]:
    """Measure loading the list, and applying facts of targets one by one."""
    listed = sizes.targets()
    directory_ = _targets.TargetDirectory(
        clock=_clock.SystemClock(), flap_window=60.0
    )
    list_millis = sizes.once_millis(lambda: directory_.set_list(listed))
    facts_with_address = [
        _listed_targets.fact_from_target(target) for target in listed[:50]
    ]
    facts_without_address = [_fact_of(target) for target in listed[50:100]]
    with_address = sizes.processor_micros(
        lambda: sizes.for_each(directory_.apply_fact, facts_with_address),
        count=50,
    )
    without = sizes.processor_micros(
        lambda: sizes.for_each(directory_.apply_fact, facts_without_address),
        count=50,
    )
    owners = _ownership.Ownership()
    daemons = sizes.daemon_ids()
    known = directory_.target_by_replica
    owners.update(daemons=daemons, replicas=known)

    def update() -> None:
        owners.update(daemons=daemons, replicas=known)

    directory_.on_change(update)
    with_ownership = sizes.processor_micros(
        lambda: sizes.for_each(directory_.apply_fact, facts_without_address),
        count=50,
    )
    group = _ids.GroupName("pool-00")
    usable_micros = sizes.processor_micros(
        lambda: _query_after_changes(directory_, group, times=50), count=50
    )
    return [
        _Slope("list of 6,100 targets taken over", list_millis, "ms"),
        _Slope("one fact of a target, with its address", with_address, "µs"),
        _Slope("one fact of a target, state only", without, "µs"),
        _Slope("  the same, owners updated after it", with_ownership, "µs"),
        _Slope(
            "usable replicas of a pool, after a change", usable_micros, "µs"
        ),
    ]


def _query_after_changes(
    directory_: _targets.TargetDirectory,
    group: _ids.GroupName,
    *,
    times: int,
) -> None:
    for _ in range(times):
        directory_.avoid(_ids.ReplicaId("nobody"))
        directory_.usable(group)


def _fact_of(target: _targets.Target) -> messages.Fact:
    return messages.Fact(
        kind=messages.FactKind.target,
        subject=target.replica,
        incarnation=target.incarnation,
        sequence=1,
        state=messages.FactState.suspected,
    )


def _owner_with_held_slots() -> tuple[_owner.Owner, list[_ids.ReplicaId]]:
    clock = _clock.SystemClock()
    directory_ = _targets.TargetDirectory(clock=clock, flap_window=60.0)
    directory_.set_list(sizes.targets())
    owners = _ownership.Ownership()
    me = sizes.daemon_ids()[0]
    owners.update(
        daemons=sizes.daemon_ids(), replicas=directory_.target_by_replica
    )
    owner = _owner.Owner(
        daemon=me,
        ownership=owners,
        targets=directory_,
        rules=_Rules(),
        routing=settings.RoutingSettings(),
        clock=clock,
    )
    owned = owners.owned_by(me)
    for number in range(_HELD):
        daemon = sizes.daemon_ids()[number % sizes.DAEMONS]
        held_place = messages.HeldPlace(
            ask=number,
            replica=owned[number % len(owned)],
            team=f"team-{number:05}",
        )
        owner.renew(daemon, messages.Renew(held=[held_place], pending=[]))
    return owner, owned


def admission() -> list[_Slope]:
    """Measure admission, release and renewal with 570 slots held."""
    owner, owned = _owner_with_held_slots()
    sender = sizes.daemon_ids()[5]
    asks = [
        messages.AdmitAsk(
            ask=1_000_000 + number,
            group="pool-00",
            replica=owned[number % len(owned)],
            chat=number,
            team="team-00001",
            home=False,
        )
        for number in range(_ADMISSIONS)
    ]

    def admit_and_release() -> None:
        for ask in asks:
            owner.handle_admission_request(sender, ask, _ignore)
            owner.release(sender, messages.Release(asks=[ask.ask]))

    admission_micros = sizes.processor_micros(
        admit_and_release, count=_ADMISSIONS
    )
    renew = messages.Renew(
        held=[messages.HeldPlace(ask=5, replica=owned[5 % len(owned)])],
        pending=[],
    )
    renewal_micros = sizes.processor_micros(
        lambda: sizes.for_each(
            lambda _: owner.renew(sender, renew), range(_ADMISSIONS)
        ),
        count=_ADMISSIONS,
    )
    drop_micros = sizes.processor_micros(
        lambda: sizes.for_each(owner.drop_daemon, [sender] * _CHATS),
        count=_CHATS,
    )
    return [
        _Slope("a dead daemon's places dropped", drop_micros, "µs"),
        _Slope("replicas owned by the daemon measured", len(owned), ""),
        _Slope("an ask judged and its place released", admission_micros, "µs"),
        _Slope("a renewal of one place taken", renewal_micros, "µs"),
    ]


def collect_reports() -> list[_Slope]:
    """Measure the collection of load reports of one pool's owners."""
    clock = _clock.SystemClock()
    collector = _group_load.LoadCollector(clock=clock, interval=0.1)
    daemons = sizes.daemon_ids(_PER_POOL)
    reports = [_report(number) for number in range(_PER_POOL)]

    def add_all() -> None:
        for daemon, report in zip(daemons, reports):
            collector.add_report(daemon, report)

    add_all()
    micros = sizes.processor_micros(add_all, count=_PER_POOL)
    name = f"one report taken by a pool's collector of {_PER_POOL}"
    interval, counted = _simulate_reporting()
    return [
        _Slope(name, micros, "µs"),
        _Slope("interval at which reports settle", interval, "s"),
        _Slope("replicas counted then, of the pool's", counted, ""),
    ]


class _SteppedClock:
    def __init__(self) -> None:
        self.seconds = 0.0

    def now(self) -> datetime.datetime:
        return datetime.datetime.fromtimestamp(self.seconds, datetime.UTC)

    def monotonic(self) -> float:
        return self.seconds

    def sleep(self, seconds: float) -> None:
        self.seconds += seconds


def _simulate_reporting() -> tuple[float, float]:
    """Simulate a minute of owners' reports at the requested intervals.

    Returns
    -------
    tuple of float
        Mean requested interval, and mean number of replicas counted, in
        the last half minute.
    """
    clock = _SteppedClock()
    collector = _group_load.LoadCollector(clock=clock, interval=0.1)
    owners = _ownership.Ownership()
    owners.update(
        daemons=sizes.daemon_ids(), replicas=sizes.replica_ids(_PER_POOL)
    )
    loads: dict[_ids.DaemonId, list[messages.ReplicaLoad]] = {}
    for replica in sizes.replica_ids(_PER_POOL):
        owner = owners.owner_of(replica)
        assert owner is not None
        entry = messages.ReplicaLoad(replica=replica, load=80)
        loads.setdefault(owner, []).append(entry)
    rng = random.Random(1)
    due = [(rng.random(), owner) for owner in sorted(loads)]
    heapq.heapify(due)
    seen: list[messages.LoadSummary] = []
    while due[0][0] < _SETTLE_SECONDS:
        clock.seconds, owner = due[0]
        report = messages.LoadReport(group="pool-00", loads=loads[owner])
        summary = collector.add_report(owner, report)
        if clock.seconds > _SETTLE_SECONDS / 2:
            seen.append(summary)
        heapq.heapreplace(due, (clock.seconds + summary.interval, owner))
    return (
        statistics.mean(summary.interval for summary in seen),
        statistics.mean(summary.replicas for summary in seen),
    )


def _report(number: int) -> messages.LoadReport:
    return messages.LoadReport(
        group="pool-00",
        loads=[
            messages.ReplicaLoad(
                replica=f"pool-00-replica-{number:04}", load=80
            )
        ],
    )


def lend_slices() -> list[_Slope]:
    """Measure lending slices of a team's ceiling."""
    row = table.TeamRow(
        name="team-00001", ceiling_rate=1000.0, ceiling_running=2000
    )
    owner = _quota_owner.QuotaOwner(
        team_of=lambda team: row,
        reachable_fraction=lambda: 1.0,
        clock=_clock.SystemClock(),
    )
    ask = messages.SliceAsk(team="team-00001", want=1, unused=0, running=1)
    daemons = sizes.daemon_ids()
    found = []
    for askers in (1, 40, sizes.DAEMONS):
        for daemon in daemons[:askers]:
            owner.lend(daemon, ask)
        micros = sizes.processor_micros(
            lambda: [owner.lend(daemons[0], ask) for _ in range(_CHATS)],
            count=_CHATS,
        )
        name = f"a slice lent, {askers} daemons hold room"
        found.append(_Slope(name, micros, "µs"))
    return found


def _ignore(reply: Any) -> None:
    return
