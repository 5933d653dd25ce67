"""An engine's list of the prompt parts that it holds."""

import json

from gevent import server
import pytest
from topazlug_platform import contexts

from tests.topazlug import routing_fixtures
from tests.topazlug import wire_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import platform_rig
from topazlug import _clock
from topazlug import _errors
from topazlug.capacity import _context_recovery
from topazlug.routing import _context_lister
from topazlug.routing import _ranking
from topazlug.targets import _target_client

LISTS = contexts.ContextLists()
ENTRY = ["", "a1b2", 4000, "m"]
HELD = _context_recovery.HeldContext(_ranking.chat_hash("m", "a1b2"), 4000)


def body(*entries, **changes):
    document = {"epoch": 3, "next": 9, "held": list(entries), **changes}
    return json.dumps(document).encode()


class TestDecode:
    def test_chat_is_that_of_requests(self):
        """Recovered contexts must be found by the requests that need them."""
        assert LISTS.decode(body(ENTRY)) == [HELD]

    @pytest.mark.parametrize(
        "entry",
        [
            None,
            "a1b2",
            [],
            ["", "a1b2", 4000],
            ["", "a1b2", 4000, "m", 1],
            ["", "", 4000, "m"],
            ["", 7, 4000, "m"],
            ["", "a1b2", "4000", "m"],
            ["", "a1b2", True, "m"],
            ["", "a1b2", -1, "m"],
            ["", "a1b2", 10**12, "m"],
            ["", "a1b2", 4000, None],
        ],
    )
    def test_entry_of_another_form_is_left_out(self, entry):
        """One bad entry must not cost all others."""
        assert LISTS.decode(body(entry, ENTRY)) == [HELD]

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"<html>",
            b"[]",
            b"{}",
            b'{"held": 7}',
            b"\xff",
            b'{"held": ' + b"[" * 100_000,
            body(ENTRY)[:-3],
        ],
    )
    def test_malformed_answer(self, data):
        with pytest.raises(_context_lister.MalformedContextList):
            LISTS.decode(data)

    def test_number_of_entries_is_bounded(self):
        entries = [["", f"{n:x}", 4000, "m"] for n in range(5000)]
        assert len(LISTS.decode(body(*entries))) == 4096


class Replica:
    """A replica that answers each request with some bytes, then closes."""

    def __init__(self, data):
        self._data = data
        self.requests = []
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    def _serve(self, sock, address):
        self.requests.append(wire_fixtures.read_request(sock))
        for data in self._data:
            sock.sendall(data)

    def list(self):
        lister = _context_lister.ConnectionContextLister(
            connections=_target_client.TargetConnections(
                connect_timeout=0.25, clock=_clock.SystemClock()
            ),
            codec=LISTS,
            clock=_clock.SystemClock(),
        )
        port = self._server.server_port
        try:
            return lister.list_contexts(fixtures.target("i-1", port=port))
        finally:
            self._server.stop(timeout=0)


class TestConnectionContextLister:
    def test_list_of_a_replica(self):
        replica = Replica([wire_fixtures.http_answer(body(ENTRY))])
        assert replica.list() == [HELD]
        assert replica.requests[0].startswith(b"GET /v1/kv-list HTTP/1.1\r\n")
        assert b"\r\nX-Expected-Replica: i-1\r\n" in replica.requests[0]

    @pytest.mark.parametrize(
        "data",
        [
            [],
            [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"],
            [b"no HTTP\r\n\r\n"],
            [wire_fixtures.http_answer(b"", status="404 Not Found")],
            [wire_fixtures.http_answer(b"", status="421 Misdirected")],
            [
                wire_fixtures.http_answer(
                    body(ENTRY), status="500 Internal Server Error"
                )
            ],
            [
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                *[platform_rig.chunk(b" " * 65536)] * 9,
                platform_rig.END,
            ],
        ],
        ids=["none", "cut", "foreign", "absent", "other", "failed", "huge"],
    )
    def test_answer_that_is_not_valid(self, data):
        """A bad answer must end the attempt, not the daemon's greenlet."""
        with pytest.raises(_errors.TopazlugError):
            Replica(data).list()

    def test_late_answer(self):
        """A replica that sends slowly must not hold a connection for long."""

        def slow_bytes():
            yield b"HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n"
            while True:
                clock.sleep(0.05)
                yield b" "

        clock = _clock.SystemClock()
        started = clock.monotonic()
        with pytest.raises(_errors.DeadlineExceeded):
            Replica(slow_bytes()).list()
        assert clock.monotonic() - started < 5.0

    def test_replica_that_accepts_no_connection(self):
        replica = Replica([])
        replica._server.stop(timeout=0)
        with pytest.raises(_target_client.ConnectFailed):
            replica.list()


class Engine:
    """A replica that answers callers' requests and requests for its list."""

    def __init__(self, *fields):
        self.fields = fields
        self.listed = 0

    def __call__(self, sock):
        sock.sendall(platform_rig.answer(b"whole", *self.fields))

    def serve_list(self, sock):
        self.listed += 1
        sock.sendall(wire_fixtures.http_answer(body(ENTRY)))


@pytest.fixture
def run():
    rigs = []

    def start(*fields, has_context=False, **options):
        route = fixtures.route(has_context=has_context)
        rig = platform_rig.Rig(route, **options)
        rigs.append(rig)
        engine = Engine(*fields)

        def script(sock):
            if rig.requests[-1].startswith(b"GET /v1/kv-list"):
                engine.serve_list(sock)
                return False
            return engine(sock)

        rig.list(script)
        return rig, engine

    yield start
    for rig in rigs:
        rig.stop()


PROMPT = (
    "X-Model: m",
    "X-Token-Counts: 2000,20",
    "X-Prompt-Prefix: a1:1500,b2:500",
)
LISTED = "topazlug_owner_context_lists_total 1.0"


class TestDaemon:
    def test_replica_that_reports_its_slowness_is_asked(self, run):
        """The whole path: head, owner, request, decoder and record."""
        rig, engine = run("X-Replica-Load: 1,0,8,150", has_context=True)
        rig.send(*PROMPT)
        assert engine.listed <= 1
        routing_fixtures.wait_until(lambda: LISTED in rig.scrape())
        rig.send(*PROMPT)
        assert engine.listed == 1
        text = rig.scrape()
        assert "topazlug_owner_recovered_contexts_total 1.0" in text
        assert "topazlug_owner_context_lists_given_up_total 0.0" in text

    def test_replica_is_asked_with_a_prompt_where_capacity_is_short(self, run):
        rig, engine = run(has_context=True, is_capacity_short=True)
        assert engine.listed == 0
        rig.send(*PROMPT)
        routing_fixtures.wait_until(lambda: LISTED in rig.scrape())
        assert engine.listed == 1

    def test_other_replicas_are_not_asked(self, run):
        """Deployments without high load must see no new requests."""
        rig, engine = run("X-Replica-Load: 1,0,8")
        for _ in range(3):
            assert rig.send()[0] == 200
        assert engine.listed == 0

    def test_plain_service_is_not_asked(self, run):
        """It would run the request, which no caller sent."""
        rig, engine = run(is_capacity_short=True)
        for _ in range(3):
            assert rig.send()[0] == 200
        assert engine.listed == 0

    def test_switched_off(self, run):
        rig, engine = run(
            "X-Replica-Load: 1,0,8,150",
            is_capacity_short=True,
            disabled=frozenset(
                {platform_rig.MECHANISM.CONTEXT_RECOVERY},
            ),
        )
        for _ in range(3):
            assert rig.send()[0] == 200
        assert engine.listed == 0
