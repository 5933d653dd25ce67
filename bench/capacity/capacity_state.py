"""Memory and size of tables, lists, facts, ledgers, chats and quotas."""

from collections.abc import Mapping

import msgspec

from bench.capacity import capacity_sizes as sizes
from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import table
from topazlug.capacity import _slot_key
from topazlug.configuration import _configuration
from topazlug.configuration import _table_snapshot
from topazlug.limits import _quota_owner
from topazlug.limits import _quotas
from topazlug.membership import _facts
from topazlug.membership import _members
from topazlug.routing import _displaced_chats
from topazlug.routing import _ledger
from topazlug.routing import _ownership
from topazlug.store import _instances
from topazlug.targets import _listed_targets
from topazlug.targets import _targets

_HELD = 570
_LEDGERS = 700
_DISPLACED = 20000
_EDITS = 200
_Slope = sizes.Slope
_CLOCK = _clock.SystemClock()


def _team(number: int) -> dict[str, object]:
    return {
        "name": f"team-{number:05}",
        "weight": 2.0,
        "ceiling_rate": 40.0,
        "ceiling_running": 60,
        "keys": [
            {"hash": f"{number:064x}", "label": "main"},
            {"hash": f"{number + 2**40:064x}", "label": "spare"},
        ],
    }


def _rows() -> list[messages.RowChange]:
    rows = [
        messages.RowChange(
            revision=1,
            table="teams",
            key=f"team-{number:05}",
            row_version=1,
            value=_team(number),
        )
        for number in range(sizes.TEAMS)
    ]
    for number in range(sizes.POOLS):
        name = f"pool-{number:02}"
        value = {"name": name, "model": f"model-{number:02}"}
        rows.append(
            messages.RowChange(
                revision=1,
                table="pools",
                key=name,
                row_version=1,
                value=value,
            )
        )
    return rows


def whole_table() -> list[_Slope]:
    """Measure loading, changing and encoding the operators' table."""
    encoded = msgspec.msgpack.encode(
        messages.ConfigAnswer(revision=1, whole=True, changes=_rows())
    )
    held = sizes.held_bytes(lambda: _load_table(encoded))
    load_millis = sizes.once_millis(lambda: _load_table(encoded))
    configuration = _load_table(encoded)
    edits = iter(range(2, 10**6))

    def edit() -> None:
        for _ in range(_EDITS):
            revision = next(edits)
            configuration.apply([_change(revision)])

    edit_micros = sizes.processor_micros(edit, count=_EDITS)
    snapshot = configuration.current
    assert snapshot is not None
    encode_millis = sizes.once_millis(
        lambda: msgspec.msgpack.encode(
            _table_snapshot.table_to_changes(snapshot)
        )
    )
    push = messages.ConfigPush(changes=[_change(2)])
    return [
        _Slope("table of 13,000 teams, msgpack", len(encoded) / 1e6, "MB"),
        _Slope("table held, per team", held / sizes.TEAMS, "B"),
        _Slope("table held, whole", held / 1e6, "MB"),
        _Slope(
            "whole table decoded and brought into force", load_millis, "ms"
        ),
        _Slope("whole table encoded for a peer", encode_millis, "ms"),
        _Slope("one row changed", edit_micros, "µs"),
        _Slope(
            "push of one row, msgpack", len(msgspec.msgpack.encode(push)), "B"
        ),
    ]


def _change(revision: int) -> messages.RowChange:
    number = revision % sizes.TEAMS
    return messages.RowChange(
        revision=revision,
        table="teams",
        key=f"team-{number:05}",
        row_version=revision,
        value=_team(number),
    )


def _load_table(encoded: bytes) -> _configuration.ConfigurationHolder:
    answer = msgspec.msgpack.decode(encoded, type=messages.ConfigAnswer)
    configuration = _configuration.ConfigurationHolder()
    configuration.apply_full_table(
        revision=answer.revision, rows=answer.changes
    )
    return configuration


def _instance_list() -> bytes:
    entries = [
        _instances.Instance(
            id=target.replica,
            kind=_instances.InstanceKind.ENGINE,
            group=target.group,
            host=target.host,
            port=target.port,
            zone=target.zone,
            region="region-a",
            incarnation=target.incarnation,
            slots=target.slots,
        )
        for target in sizes.targets()
    ]
    entries += [
        _instances.Instance(
            id=daemon,
            kind=_instances.InstanceKind.DAEMON,
            group="topazlug",
            host="10.9.9.9",
            port=7001,
            zone="zone-1",
            region="region-a",
            incarnation=1_700_000_000_000,
        )
        for daemon in sizes.daemon_ids()
    ]
    return msgspec.json.encode({"instances": entries})


def instance_list() -> list[_Slope]:
    """Measure decoding and memory of the platform's list."""
    data = _instance_list()
    count = sizes.REPLICAS + sizes.DAEMONS
    decoded = sizes.once_millis(lambda: _instances.decode(data))
    listed = sizes.held_bytes(lambda: _instances.decode(data))
    instances = _instances.decode(data)

    def directory() -> _targets.TargetDirectory:
        made = _targets.TargetDirectory(clock=_CLOCK, flap_window=60.0)
        made.set_list(_listed_targets.targets_from_instances(instances))
        return made

    targets = sizes.held_bytes(directory)

    def owners() -> _ownership.Ownership:
        made = _ownership.Ownership()
        made.update(daemons=sizes.daemon_ids(), replicas=sizes.replica_ids())
        return made

    owned = sizes.held_bytes(owners)
    return [
        _Slope("list of instances, JSON", len(data) / 1e6, "MB"),
        _Slope("list decoded", decoded, "ms"),
        _Slope("list held, per instance", listed / count, "B"),
        _Slope("TargetDirectory, per target", targets / sizes.REPLICAS, "B"),
        _Slope("Ownership, per replica", owned / sizes.REPLICAS, "B"),
    ]


def facts() -> list[_Slope]:
    """Measure the memory of facts and members."""
    target_facts = [
        _listed_targets.fact_from_target(target) for target in sizes.targets()
    ]
    encoded = msgspec.msgpack.encode(target_facts)

    def fact_set() -> _facts.FactSet:
        made = _facts.FactSet(clock=_CLOCK)
        for fact in msgspec.msgpack.decode(encoded, type=list[messages.Fact]):
            made.merge(fact)
        return made

    held = sizes.held_bytes(fact_set)

    def members() -> Mapping[_ids.DaemonId, _members.Member]:
        return {
            daemon: _members.Member(
                daemon_id=daemon,
                incarnation=1_700_000_000_000 + number,
                state=messages.FactState.live,
                host=f"10.0.{number % 250}.{number // 250}",
                port=7001,
                zone=f"zone-{number % sizes.ZONES}",
            )
            for number, daemon in enumerate(sizes.daemon_ids())
        }

    each = sizes.held_bytes(members) / sizes.DAEMONS
    merged = sizes.processor_micros(fact_set, count=len(target_facts))
    return [
        _Slope("fact held, with address", held / len(target_facts), "B"),
        _Slope(
            "fact sent, with address", len(encoded) / len(target_facts), "B"
        ),
        _Slope("fact decoded and merged", merged, "µs"),
        _Slope("member held", each, "B"),
    ]


def ledgers() -> list[_Slope]:
    """Measure the memory of ledgers and of the slots held in them."""

    def make_ledgers(slots: int) -> list[_ledger.ReplicaLedger]:
        found = [_empty_ledger(number) for number in range(_LEDGERS)]
        for ledger in found:
            for number in range(slots):
                key = _slot_key.SlotKey(
                    _ids.DaemonId(f"daemon-{number:04}"),
                    _ids.AdmissionRequestId(10**6 + number),
                )
                held = _ledger.LedgerEntry(
                    weight=1, team=_ids.TeamName(f"t-{number}"), batch=False
                )
                ledger.hold(key, held)
        return found

    empty = sizes.held_bytes(lambda: make_ledgers(0)) / _LEDGERS
    full = sizes.held_bytes(lambda: make_ledgers(80)) / _LEDGERS
    return [
        _Slope("ledger held, empty", empty, "B"),
        _Slope("place held in a ledger", (full - empty) / 80, "B"),
    ]


def _empty_ledger(number: int) -> _ledger.ReplicaLedger:
    return _ledger.ReplicaLedger(
        replica=_ids.ReplicaId(f"pool-00-replica-{number:04}"),
        group=_ids.GroupName("pool-00"),
        slots=128,
        batch_slots=100,
        queue_capacity=64,
    )


def displaced() -> list[_Slope]:
    """Measure displaced chats, decoded as they arrive from peers."""

    def chats() -> _displaced_chats.DisplacedChats:
        made = _displaced_chats.DisplacedChats(capacity=_DISPLACED)
        for number in range(_DISPLACED):
            made.record(_displaced_entry(number))
        return made

    held = sizes.held_bytes(chats) / _DISPLACED
    size = len(msgspec.msgpack.encode(_displaced_entry(7)))
    return [
        _Slope("displaced chat held", held, "B"),
        _Slope("displaced chat sent", size, "B"),
    ]


def _displaced_entry(number: int) -> messages.Displaced:
    encoded = msgspec.msgpack.encode(
        messages.Displaced(
            group="pool-00",
            home=f"pool-00-replica-{number % 7:04}",
            chat=2**63 + number,
            replica=f"pool-00-replica-{number % 156:04}",
        )
    )
    return msgspec.msgpack.decode(encoded, type=messages.Displaced)


def quotas() -> list[_Slope]:
    """Measure an entry daemon's teams in use and an owner's buckets."""
    row = table.TeamRow(name="t", ceiling_rate=1000.0, ceiling_running=2000)

    def owner() -> _quota_owner.QuotaOwner:
        made = _quota_owner.QuotaOwner(
            team_of=lambda team: row,
            reachable_fraction=lambda: 1.0,
            clock=_CLOCK,
        )
        for number in range(_HELD):
            ask = messages.SliceAsk(
                team=f"team-{number:05}", want=1, unused=0, running=1
            )
            for daemon in sizes.daemon_ids(40):
                made.lend(daemon, ask)
        return made

    def uses() -> object:
        made = _quotas.TeamQuotas(
            daemon=_ids.DaemonId("me"),
            owner=_quota_owner.QuotaOwner(
                team_of=lambda team: row,
                reachable_fraction=lambda: 1.0,
                clock=_CLOCK,
            ),
            links=_NoLinks(),
            daemons=lambda: [_ids.DaemonId("me")],
            clock=_CLOCK,
        )
        tickets = [
            made.acquire(
                table.TeamRow(name=f"team-{number:05}"),
                deadline=_CLOCK.monotonic() + 60,
            )
            for number in range(_HELD)
        ]
        return made, tickets

    return [
        _Slope(
            "ceiling's bucket at its owner, 40 askers",
            sizes.held_bytes(owner) / _HELD,
            "B",
        ),
        _Slope(
            "team in use at an entry daemon",
            sizes.held_bytes(uses) / _HELD,
            "B",
        ),
    ]


class _NoLinks:
    def call(
        self, to: _ids.DaemonId, message: msgspec.Struct, *, timeout: float
    ) -> msgspec.Struct:
        raise AssertionError(
            "unexpected call: a team without a ceiling needs no slice"
        )


def all_resident() -> list[_Slope]:
    """Measure the resident memory of table, list and facts together."""
    encoded = msgspec.msgpack.encode(
        messages.ConfigAnswer(revision=1, whole=True, changes=_rows())
    )
    data = _instance_list()
    target_facts = msgspec.msgpack.encode(
        [
            _listed_targets.fact_from_target(target)
            for target in sizes.targets()
        ]
    )
    before = sizes.resident_bytes()
    configuration = _load_table(encoded)
    after_table = sizes.resident_bytes()
    instances = _instances.decode(data)
    directory = _targets.TargetDirectory(clock=_CLOCK, flap_window=60.0)
    directory.set_list(_listed_targets.targets_from_instances(instances))
    owners = _ownership.Ownership()
    owners.update(
        daemons=sizes.daemon_ids(), replicas=directory.target_by_replica
    )
    after_list = sizes.resident_bytes()
    fact_set = _facts.FactSet(clock=_CLOCK)
    for fact in msgspec.msgpack.decode(target_facts, type=list[messages.Fact]):
        fact_set.merge(fact)
    after_facts = sizes.resident_bytes()
    assert configuration.current is not None and fact_set.digest
    mega = 1e6
    return [
        _Slope("resident: table", (after_table - before) / mega, "MB"),
        _Slope(
            "resident: list, directory, owners",
            (after_list - after_table) / mega,
            "MB",
        ),
        _Slope(
            "resident: 6,100 facts of targets",
            (after_facts - after_list) / mega,
            "MB",
        ),
    ]
