"""Client of the object store, against the stand-in."""

import pytest

from standins import _http
from standins import _platform
from topazlug import _clock
from topazlug import _errors
from topazlug.store import _object_client


@pytest.fixture
def platform():
    stand_in = _platform.Platform(list_lag=0.0, writes_per_second=0.0)
    server = _http.server(stand_in.answer, 0)
    stand_in.port = server.server_port
    yield stand_in
    server.stop()


@pytest.fixture
def client(platform):
    return _object_client.ObjectClient(
        host="127.0.0.1",
        port=platform.port,
        timeout=5.0,
        clock=_clock.SystemClock(),
    )


class TestObjectClient:
    def test_put_then_get(self, client):
        data = bytes(range(256)) * 1000
        client.put("claims/a b", data)
        assert client.get("claims/a b") == data

    def test_absent(self, client):
        assert client.get("none") is None

    def test_outage_has_no_effect(self, client, platform):
        platform.faults.down = True
        with pytest.raises(_errors.StoreUnavailable):
            client.put("k", b"")
        with pytest.raises(_errors.StoreUnavailable):
            client.get("k")

    def test_lost_answer_is_ambiguous(self, client, platform):
        platform.faults.lose_answers = 1
        with pytest.raises(_errors.StoreAmbiguous):
            client.put("k", b"data")
        assert client.get("k") == b"data"
