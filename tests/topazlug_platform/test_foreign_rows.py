"""Invalid rows that another writer has stored in the platform's tables.

As long as one invalid row existed, no daemon applied updates of any replica:
an error in one row ended the reading of the whole table. Rows were not JSON,
nested too deeply, or had values that no replica writes.
"""

import json

import hypothesis
from hypothesis import strategies
import pytest
from topazlug_platform import documents

from tests.topazlug import claim_fakes
from topazlug.fleet import _fleet_directory
from topazlug.fleet import _row_reader
from topazlug.targets import _targets

ENTRY = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "slots": 64,
    "state": "serving",
    "born": 1783000000000,
    "sequence": 4,
}
OWN_HOST = "10.0.0.1"
OWN_HOSTS = documents.OwnHosts([OWN_HOST])
NESTED = b"[" * 100_000
HUGE = b'{"service": "s1", "address": "10.0.0.9:8080", "slots": 1e999}'


def entry(**changes):
    return json.dumps({**ENTRY, **changes}).encode()


def without(name):
    left = {key: value for key, value in ENTRY.items() if key != name}
    return json.dumps(left).encode()


UNUSABLE = {
    "not JSON": b"certainly not",
    "empty": b"",
    "not UTF-8": b"\xff\xfe\x00",
    "nested": NESTED,
    "nested inside": b'{"service":"s1","more":' + NESTED + b"}",
    "list": b"[1, 2]",
    "text": b'"serving"',
    "null": b"null",
    "no service": without("service"),
    "empty service": entry(service=""),
    "no address": without("address"),
    "number for address": entry(address=8080),
    "null for service": entry(service=None),
    "unknown state": entry(state="dancing"),
    "number for state": entry(state=3),
    "port too high": entry(address="10.0.0.9:99999"),
    "negative port": entry(address="10.0.0.9:-5"),
    "port zero": entry(address="10.0.0.9:0"),
    "port with a plus": entry(address="10.0.0.9:+80"),
    "port with spaces": entry(address="10.0.0.9: 80"),
    "port in other digits": entry(address="10.0.0.9:\u0668\u0660"),
    "no port": entry(address="10.0.0.9"),
    "name": entry(address="replica.example:80"),
    "empty host": entry(address=":80"),
    "loopback": entry(address="127.0.0.1:80"),
    "unspecified": entry(address="0.0.0.0:80"),
    "multicast": entry(address="224.0.0.9:80"),
    "broadcast": entry(address="255.255.255.255:80"),
    "line break": entry(address="10.0.0.9\r\nX-Y: 1:80"),
    "own host": entry(address=f"{OWN_HOST}:80"),
    "negative slots": entry(slots=-1),
    "infinite slots": HUGE,
    "text for slots": entry(slots="64"),
    "fraction for start": entry(born=1.5),
    "boolean for start": entry(born=True),
    "text for start": entry(born="1783000000000"),
    "negative start": entry(born=-1),
}
KEYS = ["", "i 1", "i\r\nX-Y: 1", "\u0268-1", "i" * 201, "i\x00"]


def parse_target(key, data):
    return documents.parse_target(key, data, own_hosts=OWN_HOSTS)


def reader():
    return _row_reader.RowReader(
        name="servers", decode=parse_target, clock=claim_fakes.FakeClock()
    )


class TestReplicas:
    @pytest.mark.parametrize("data", UNUSABLE.values(), ids=UNUSABLE)
    def test_invalid_entry(self, data):
        with pytest.raises(documents.Unreadable):
            parse_target("i-1", data)

    @pytest.mark.parametrize("key", KEYS)
    def test_invalid_key(self, key):
        with pytest.raises(documents.Unreadable):
            parse_target(key, entry())

    def test_valid_rows_are_read(self):
        rows = {f"bad-{name}": data for name, data in UNUSABLE.items()}
        rows["i-1"] = entry()
        rows["i-2"] = entry(address="10.0.0.8:8080", state="draining")
        found = {one.replica: one for one in reader().read(rows)}
        assert set(found) == {"i-1", "i-2"}
        assert found["i-2"].leaving
        assert found["i-1"].incarnation == ENTRY["born"]

    def test_corrected_entry_is_read(self):
        rows = reader()
        assert rows.read({"i-1": NESTED}) == []
        (found,) = rows.read({"i-1": entry()})
        assert found.replica == "i-1"

    def test_row_of_a_fleet_on_one_machine(self):
        found = documents.parse_target(
            "i-1",
            entry(address="127.0.0.1:80"),
            own_hosts=documents.OwnHosts(["127.0.0.1"]),
        )
        assert found.host == "127.0.0.1"

    def test_cost_of_a_row_does_not_grow_with_the_fleet(self, monkeypatch):
        """With 300 daemons, each used half a core for 3,000 entries.

        Each entry was compared with all addresses of the fleet, and each
        address was parsed again for each comparison.
        """
        parsed = []
        parse = documents.ipaddress.IPv4Address

        def counted(address):
            parsed.append(address)
            return parse(address)

        monkeypatch.setattr(documents.ipaddress, "IPv4Address", counted)
        counts = []
        for daemons in (3, 300):
            own_hosts = documents.OwnHosts(
                f"10.1.{one // 250}.{one % 250 + 1}" for one in range(daemons)
            )
            parsed.clear()
            documents.parse_target("i-1", entry(), own_hosts=own_hosts)
            counts.append(len(parsed))
        assert counts[0] == counts[1]

    @hypothesis.given(strategies.binary(max_size=400))
    def test_any_bytes(self, data):
        assert all(
            isinstance(one, _targets.Target)
            for one in reader().read({"i-1": data})
        )

    @hypothesis.given(
        strategies.text(max_size=30),
        strategies.sampled_from(sorted(ENTRY)),
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(),
            lambda inner: strategies.lists(inner)
            | strategies.dictionaries(strategies.text(), inner),
            max_leaves=5,
        ),
    )
    def test_any_value_in_any_field(self, key, field, value):
        for one in reader().read({key: entry(**{field: value})}):
            assert 0 < one.port <= 65535
            assert one.slots >= 0
            assert "\n" not in one.host + one.replica


class TestConfiguration:
    ROUTE = {
        "name": "r1",
        "host": "chat.example",
        "prefix": "/a/",
        "route_kind": "streaming",
        "timeout_ms": 8000,
        "service": "s1",
    }

    @pytest.mark.parametrize(
        "changes",
        [
            {"timeout_ms": -1},
            {"timeout_ms": 0},
            {"target_latency_ms": -5},
            {"timeout_ms": "8000"},
            {"service": ""},
            {"traffic_split": [{"service": "s1", "weight": -1}]},
        ],
    )
    def test_bad_route(self, changes):
        data = json.dumps(
            {"version": 1, "routes": [{**self.ROUTE, **changes}]}
        )
        with pytest.raises(documents.Unreadable):
            documents.parse_table(data.encode())

    @pytest.mark.parametrize("data", [NESTED, b"", b"\xff", b"[]", b"{}"])
    def test_invalid_configuration(self, data):
        with pytest.raises(documents.Unreadable):
            documents.parse_table(data)


class TestDaemons:
    def test_invalid_row_of_a_daemon_is_skipped(self):
        own_row = _fleet_directory.DaemonRow(
            host="10.0.0.1", port=7340, relays=True
        )
        directory = _fleet_directory.FleetDirectory(
            daemon_id="d1", own_row=own_row
        )
        rows = {
            f"daemon/{number}": data
            for number, data in enumerate(
                [
                    NESTED,
                    b"\xff",
                    b"{}",
                    b'{"host": "x", "port": 1, "relays": true}',
                    b'{"host": "10.0.0.2", "port": -1, "relays": true}',
                    b'{"host": "10.0.0.2", "port": 7340, "relays": 3}',
                ]
            )
        }
        rows["daemon/d2"] = b'{"host":"10.0.0.2","port":7340,"relays":true}'
        rows["secret"] = b"\xff\xfe"
        directory.update(rows)
        assert set(directory.daemons_by_id) == {"d1", "d2"}
