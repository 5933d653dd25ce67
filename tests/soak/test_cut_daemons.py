"""The check of cut-off daemons detects callers that are served worse."""

import base64
import json
import types

from gevent import socket
import pytest

from soak import _cut_daemons
from soak import _store
from standins import _cut_link

PERIOD = _cut_daemons.CutPeriod(frozenset({0}), 10.0, 20.0)


def outcomes(daemon, *, served, failed, at=15.0):
    return [
        types.SimpleNamespace(daemon=daemon, status=status, started=at)
        for status in [200] * served + [503] * failed
    ]


def violations(found, *, disrupted=()):
    return list(
        _cut_daemons.check_cut_daemons(
            [PERIOD], found, lambda daemon, at: daemon not in disrupted
        )
    )


class TestCheckCutDaemons:
    def test_callers_that_are_refused(self):
        found = outcomes(0, served=5, failed=35)
        found += outcomes(1, served=40, failed=0)
        assert len(violations(found)) == 1

    def test_callers_that_are_served_like_others(self):
        found = outcomes(0, served=20, failed=20)
        found += outcomes(1, served=25, failed=15)
        assert violations(found) == []

    def test_few_failures_are_allowed(self):
        found = outcomes(0, served=0, failed=10)
        found += outcomes(1, served=40, failed=0)
        assert violations(found) == []

    def test_time_until_the_cut_must_be_noticed(self):
        found = outcomes(0, served=0, failed=40, at=12.9)
        found += outcomes(1, served=40, failed=0, at=12.9)
        assert violations(found) == []

    def test_daemon_that_is_disrupted_otherwise(self):
        found = outcomes(0, served=0, failed=40)
        found += outcomes(1, served=40, failed=0)
        assert violations(found, disrupted=(0,)) == []


class TestDaemonLinks:
    @pytest.fixture
    def store(self):
        started = _store.StoreStandIn()
        yield started
        started.stop()

    def listed_address(self, port):
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.sendall(
                b"GET /v1/rows-get?table=servers HTTP/1.1\r\n"
                b"Host: x\r\nConnection: close\r\n\r\n"
            )
            data = b""
            while more := sock.recv(65536):
                data += more
        (row,) = json.loads(data.partition(b"\r\n\r\n")[2])["rows"]
        return json.loads(base64.b64decode(row["data"]))["address"]

    def test_each_daemon_sees_addresses_of_its_own(self, store):
        entry = {"address": f"127.0.0.1:{store.port}"}
        store.put("servers", "i-1", entry)
        links = [_cut_daemons.DaemonLinks(store) for _ in range(2)]
        try:
            addresses = [self.listed_address(one.store_port) for one in links]
            assert len({*addresses, entry["address"]}) == 3
            assert self.listed_address(links[0].store_port) == addresses[0]
        finally:
            for one in links:
                one.stop()

    def test_link_that_is_added_during_a_cut_is_cut_too(self, store):
        store.put("servers", "i-1", {"address": f"127.0.0.1:{store.port}"})
        links = _cut_daemons.DaemonLinks(store)
        try:
            links.cut(_cut_link.Cut.REFUSE)
            address = self.listed_address(links.store_port)
            host, _, port = address.rpartition(":")
            with pytest.raises(OSError):
                socket.create_connection((host, int(port)))
        finally:
            links.stop()
