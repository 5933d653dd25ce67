"""The metadata store's protocol, tested against a scripted server."""

import base64
import json

from gevent import pywsgi
import pytest
from topazlug_platform import store as _store

from topazlug import _clock
from topazlug import _errors
from topazlug.fleet import _table_source


class ScriptedStore:
    """Answers calls from a script and records the requests."""

    def __init__(self):
        self.answers = []
        self.requests = []
        self.server = pywsgi.WSGIServer(("127.0.0.1", 0), self, log=None)
        self.server.start()
        self.store = _store.MetadataStore(
            host="127.0.0.1",
            port=self.server.server_port,
            clock=_clock.SystemClock(),
        )

    def __call__(self, environ, start):
        body = environ["wsgi.input"].read()
        query = environ["QUERY_STRING"]
        self.requests.append((environ["PATH_INFO"], query, body))
        status, document = self.answers.pop(0)
        data = json.dumps(document).encode()
        start(status, [("Content-Length", str(len(data)))])
        return [data]


@pytest.fixture
def scripted():
    made = ScriptedStore()
    yield made
    made.server.stop(timeout=0)


def row(key, data=b""):
    return {"key": key, "data": base64.b64encode(data).decode()}


class TestReading:
    def test_all_pages(self, scripted):
        scripted.answers = [
            (
                "200 OK",
                {
                    "rows": [row("a", b"1")],
                    "truncated": True,
                    "row_version": 5,
                },
            ),
            ("200 OK", {"rows": [row("b", b"2")], "row_version": 6}),
        ]
        found = scripted.store.rows("servers")
        assert [(one.key, one.data) for one in found.rows] == [
            ("a", b"1"),
            ("b", b"2"),
        ]
        # The feed must repeat changes made between the pages.
        assert found.version == 5
        assert "source=a%00" in scripted.requests[1][1]

    def test_changes(self, scripted):
        deleted = {"key": "a", "deleted": True}
        scripted.answers = [("200 OK", {"rows": [deleted], "row_version": 9})]
        found = scripted.store.changes("op", after=7, wait=0.5)
        assert found.rows == [_table_source.Row("a", b"", True)]
        assert scripted.requests[0][1] == "table=op&after=7&wait_time_ms=500"

    def test_lost_history(self, scripted):
        scripted.answers = [("410 Gone", {})]
        with pytest.raises(_table_source.HistoryLost):
            scripted.store.changes("op", after=7, wait=0.5)

    @pytest.mark.parametrize("status", ["429 Many", "503 Away", "500 Broken"])
    def test_error_status(self, scripted, status):
        scripted.answers = [(status, {})]
        with pytest.raises(_errors.StoreUnavailable):
            scripted.store.rows("op")

    def test_unreadable_answer(self, scripted):
        scripted.answers = [("200 OK", {"rows": 7})]
        with pytest.raises(_errors.StoreUnavailable, match="can't be read"):
            scripted.store.rows("op")


class TestWriting:
    def test_condition(self, scripted):
        scripted.answers = [("412 Precondition Failed", {"rows": []})]
        with pytest.raises(_table_source.RowExists):
            scripted.store.write(
                "fleet", [_table_source.Row("k", b"v")], new=["k"]
            )
        sent = json.loads(scripted.requests[0][2])
        assert sent["expected"][0]["row_version"] == 0
        assert base64.b64decode(sent["write"][0]["data"]) == b"v"

    def test_rows_are_written_and_deleted_in_one_call(self, scripted):
        scripted.answers = [("200 OK", {"row_version": 7})]
        scripted.store.write(
            "fleet",
            [
                _table_source.Row("k", b"v"),
                _table_source.Row("old", deleted=True),
            ],
        )
        sent = json.loads(scripted.requests[0][2])
        assert [row["key"] for row in sent["write"]] == ["k"]
        assert sent["remove"] == [{"table": "fleet", "key": "old", "part": ""}]
