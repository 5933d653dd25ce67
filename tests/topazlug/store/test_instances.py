"""Client of the platform's instance list."""

import json

from gevent import pywsgi
import pytest

from tests.topazlug import peer_fixtures
from topazlug import _errors
from topazlug.store import _instances

ENTRY = {
    "id": "e1",
    "kind": "engine",
    "group": "p",
    "host": "127.0.0.1",
    "port": 80,
    "zone": "wien-a",
    "region": "wien",
    "state": "live",
    "incarnation": 3,
    "slots": 8,
}


class FakePlatform:
    """Serves a list and records the requests."""

    def __init__(self):
        self.body = json.dumps({"instances": [ENTRY]}).encode()
        self.status = "200 OK"
        self.calls = []
        self.server = pywsgi.WSGIServer(("127.0.0.1", 0), self, log=None)
        self.server.start()

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].read()
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        self.calls.append((method, path, body))
        start_response(self.status, [])
        return [self.body]


@pytest.fixture
def platform():
    platform = FakePlatform()
    yield platform
    platform.server.stop()


@pytest.fixture
def instance_list(platform):
    instance_list = _instances.InstanceList(
        host="127.0.0.1",
        port=platform.server.server_port,
        timeout=5.0,
        interval=lambda: 0.01,
        clock=peer_fixtures.ManualClock(),
    )
    yield instance_list
    instance_list.stop()


class TestDecode:
    """A list is decoded as far as possible."""

    def test_entry(self):
        (found,) = _instances.decode(
            json.dumps({"instances": [ENTRY]}).encode()
        ).values()
        assert found.kind is _instances.InstanceKind.ENGINE
        assert (found.id, found.incarnation, found.slots) == ("e1", 3, 8)

    def test_entry_of_unknown_kind_is_skipped(self):
        other = {**ENTRY, "id": "n", "kind": "novelty"}
        data = json.dumps({"instances": [other, ENTRY]}).encode()
        assert list(_instances.decode(data)) == ["e1"]


class TestReading:
    """The last complete list stays in use."""

    def test_callbacks_run_once_per_change(self, instance_list):
        notified = []
        instance_list.on_change(
            lambda: notified.append(set(instance_list.instances_by_id))
        )
        instance_list.refresh()
        instance_list.refresh()
        assert notified == [{"e1"}]
        assert instance_list.refreshed_at is not None

    @pytest.mark.parametrize(
        ("status", "body"),
        [
            ("503 Outage", b""),
            ("200 OK", b'{"instances": [{"id"'),
            ("200 OK", b"[]"),
        ],
    )
    def test_failed_read_keeps_the_last(
        self, platform, instance_list, status, body
    ):
        instance_list.refresh()
        platform.status, platform.body = status, body
        with pytest.raises(_errors.StoreUnavailable):
            instance_list.refresh()
        assert set(instance_list.instances_by_id) == {"e1"}

    def test_reading_continues_after_an_outage(self, platform, instance_list):
        platform.status = "503 Outage"
        instance_list.start()
        peer_fixtures.wait_until(lambda: len(platform.calls) > 2)
        platform.status = "200 OK"
        peer_fixtures.wait_until(lambda: "e1" in instance_list.instances_by_id)


class TestRegistering:
    """Own entries are put on the list and removed from it."""

    @pytest.fixture
    def own_instance(self):
        return _instances.Instance(
            id="d/1",
            kind=_instances.InstanceKind.DAEMON,
            group="fleet",
            host="127.0.0.1",
            port=7,
            zone="wien-a",
        )

    def test_register_retries_until_it_succeeds(
        self, platform, instance_list, own_instance, monkeypatch
    ):
        monkeypatch.setattr(_instances, "RETRY_SECONDS", 0.01)
        platform.status = "503 Outage"
        instance_list.register(own_instance)
        peer_fixtures.wait_until(lambda: len(platform.calls) > 1)
        platform.status = "204 No Content"
        sent = len(platform.calls)
        peer_fixtures.wait_until(lambda: len(platform.calls) > sent)
        method, path, body = platform.calls[-1]
        assert (method, path) == ("PUT", "/instances/d/1")
        assert json.loads(body)["port"] == 7

    def test_unregister(self, platform, instance_list, own_instance):
        instance_list.unregister("d/1")
        assert platform.calls == [("DELETE", "/instances/d/1", b"")]
