"""Tests that service calls run at most once, and "not run" is true."""

import gevent
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures as fixtures
from tests.topazlug import wire_fixtures

PREFIX = "/v1/services/letters"
PATHS = ("/send", "/c")


@pytest.fixture
def rig():
    made = fixtures.Rig()
    yield made
    made.stop()


def call(rig, method="POST", path="/send", *, key="", **options):
    headers = list(options.pop("headers", ()))
    if key:
        headers.append(("Idempotency-Key", key))
    return rig.send(method, PREFIX + path, headers=headers, **options)


def runs(rig):
    """Return the request ids of all runs of all services.

    Paths of other calls are ignored: another program on the machine may call
    a port that it used itself shortly before.
    """
    journals = [service.journal for service in rig.services.values()]
    entries = [run for journal in journals for run in journal]
    return [run.request_id for run in entries if run.path in PATHS]


def answering(*parts):
    """Send one answer in parts, and close the connection."""

    def script(sock):
        if wire_fixtures.read_request(sock):
            for part in parts:
                sock.sendall(part)

    return script


class TestOutcome:
    def test_call_runs_once(self, rig):
        service = rig.service("s1")
        answer = call(rig, body=b"x")
        assert (answer.status, answer.outcome) == (200, "ran")
        assert runs(rig) == [answer.headers["x-request-id"]]
        assert service.journal[0].path == "/send"
        rig.wait_idle()

    @pytest.mark.parametrize(
        "fault, status",
        [
            ({"die_before_answer_count": 9}, 502),
            ({"truncate_count": 9}, 502),
            ({"wrong_request_id_count": 9}, 502),
            ({"late_count": 9, "late": 600.0}, 504),
        ],
    )
    def test_unknown_outcome_is_not_repeated(self, rig, fault, status):
        """A POST with an unknown outcome must not be repeated.

        It ran and its answer was lost. As another replica was free it ran
        again, and two confirmation letters were sent.
        """
        for name in ("s1", "s2"):
            service = rig.service(name)
            for field, value in fault.items():
                setattr(service.faults, field, value)
        answer = call(rig, headers=[("X-Request-Timeout", "0.2")])
        assert (answer.status, answer.outcome) == (status, "unknown")
        assert len(runs(rig)) == 1
        rig.wait_idle()

    def test_get_is_repeated(self, rig):
        for name in ("s1", "s2"):
            rig.service(name).faults.truncate_count = 1
        rig.service("s3")
        answer = call(rig, "GET")
        assert answer.status == 200

    def test_rejected_post_is_sent_to_another(self, rig):
        rig.service("s1").faults.refuse_count = 9
        rig.service("s2")
        assert call(rig).headers["topazlug-replica"] == "s2"
        assert len(runs(rig)) == 1

    def test_rejected_by_all_is_not_run(self, rig):
        for name in ("s1", "s2"):
            rig.service(name).faults.refuse_count = 9
        answer = call(rig)
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.headers["retry-after"]
        assert runs(rig) == []

    def test_unknown_then_rejected_is_unknown(self, rig):
        """The outcome must not be "not run" if one attempt may have run.

        An idempotent call ran at one replica and its answer was lost, and its
        retry was rejected. Only the last answer determined the outcome.
        """
        for name in ("s1", "s2"):
            rig.service(name)
        home = call(rig, "GET").headers["topazlug-replica"]
        for name, service in rig.services.items():
            service.faults.die_before_answer_count = 9 if name == home else 0
            service.faults.refuse_count = 0 if name == home else 9
        for _ in range(6):
            answer = call(rig, "PUT")
            ran = answer.headers["x-request-id"] in runs(rig)
            assert (answer.outcome == "unknown") is ran

    def test_leaving_target_is_published(self, rig):
        service = rig.service("s1")
        service._leaving = True
        rig.service("s2")
        while not rig.leaving_targets.replicas:
            call(rig)
        assert rig.leaving_targets.replicas == ["s1"]


class TestClaims:
    def test_repeat_gets_the_kept_answer(self, rig):
        rig.service("s1")
        first = call(rig, key="k", body=b"x")
        claim_row = rig.store.row_by_key
        fixtures.wait_until(
            lambda: "answer" in str(list(claim_row.values())[0].value)
        )
        again = call(rig, key="k", body=b"x")
        assert again.body == first.body
        assert again.headers["idempotency-replayed"] == "true"
        assert len(runs(rig)) == 1
        assert call(rig, key="k", body=b"y").status == 422

    def test_claim_of_a_rejected_call_is_released(self, rig):
        rig.service("s1").faults.refuse_count = 1
        assert call(rig, key="k").outcome == "not-run"
        fixtures.wait_until(lambda: call(rig, key="k").status == 200)
        assert len(runs(rig)) == 1

    def test_claim_with_an_unknown_outcome_is_kept(self, rig):
        rig.service("s1").faults.die_before_answer_count = 1
        assert call(rig, key="k").outcome == "unknown"
        answer = call(rig, key="k")
        assert (answer.status, answer.outcome) == (409, "unknown")
        assert len(runs(rig)) == 1

    def test_nothing_is_sent_without_the_store(self, rig):
        rig.service("s1")
        rig.store.transact_faults.extend([claim_fakes.Fault.DOWN] * 9)
        answer = call(rig, key="k")
        assert (answer.status, answer.outcome) == (503, "not-run")
        assert answer.headers["retry-after"]
        assert runs(rig) == []

    def test_claimed_run_continues_without_its_caller(self, rig):
        """A claimed run must not be aborted when its caller disconnects.

        The caller repeats the request and must get the answer of that run. A
        guest was charged although the repeat returned an unknown outcome.
        """
        service = rig.service("s1")
        service.faults.freeze = True
        headers = [("Idempotency-Key", "k")]
        with rig.connect() as sock:
            sock.sendall(
                wire_fixtures.raw_request(
                    "POST", PREFIX + "/c", headers=headers
                )
            )
            fixtures.wait_until(lambda: rig.held_load() == 1)
        service.faults.freeze = False
        rig.wait_idle()
        fixtures.wait_until(
            lambda: call(rig, path="/c", key="k").status == 200
        )
        assert len(runs(rig)) == 1


class TestLongAnswer:
    LENGTH = 3 << 20

    def answer(self, rig, head, *parts):
        rig.scripted("s1", answering(head, *parts), group=fixtures.SERVICE)
        return call(rig, "GET")

    def test_is_relayed_completely(self, rig):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.LENGTH
        answer = self.answer(rig, head, b"x" * self.LENGTH)
        assert answer.whole
        assert len(answer.body) == self.LENGTH
        rig.wait_idle()

    def test_truncation_is_visible(self, rig):
        """A truncated answer must not look complete.

        The service dies in the middle of a long answer, part of which was
        already relayed. The daemon ended its own answer properly, and a
        caller took half a list of guests for the complete list.
        """
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self.LENGTH
        answer = self.answer(rig, head, b"x" * (self.LENGTH - 1))
        assert answer.status == 200
        assert not answer.whole
        rig.wait_idle()

    def test_caller_that_leaves_frees_its_slot(self, rig):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (1 << 40)

        def endless(sock):
            wire_fixtures.read_request(sock)
            sock.sendall(head)
            while True:
                sock.sendall(b"x" * 65536)

        rig.scripted("s1", endless, group=fixtures.SERVICE)
        with rig.connect() as sock:
            sock.sendall(wire_fixtures.raw_request("GET", PREFIX + "/all"))
            assert sock.recv(100)
        rig.wait_idle()


class TestRelay:
    def sent(self, rig, *args, **options):
        seen = []

        def script(sock):
            seen.append(wire_fixtures.read_request(sock))
            sock.sendall(
                wire_fixtures.http_answer(
                    b"", "Topazlug-Outcome: not-run", "X-Target-Hint: x"
                )
            )

        rig.scripted("s1", script, group=fixtures.SERVICE)
        answer = call(rig, *args, **options)
        assert answer.outcome == "ran"
        assert "x-target-hint" not in answer.headers
        return seen[0]

    @pytest.mark.parametrize(
        "path", ["/a%2Fb", "/a%20b?c=%26&d=1", "/%0d%0aX-Evil:%201", "/%ff"]
    )
    def test_path_is_unchanged(self, rig, path):
        """The path must not be decoded before it is relayed.

        A decoded path could request another resource or inject a header.
        """
        line = self.sent(rig, "GET", path).split(b"\r\n")[0]
        assert line == f"GET {path} HTTP/1.1".encode()

    def test_reserved_headers_are_removed(self, rig):
        headers = [
            ("X-Fencing-Number", "99"),
            ("X-Priority", "0"),
            ("X-Request-Id", "mine"),
            ("Connection", "close"),
            ("X-Kept", "yes"),
        ]
        sent = self.sent(rig, "GET", headers=headers).lower()
        assert b"x-kept: yes" in sent
        assert b"mine" not in sent
        for name in (b"fencing", b"priority", b"connection", b"tzk_"):
            assert name not in sent

    def test_head_has_no_body(self, rig):
        """An answer without a body must not end with a chunk.

        A terminating chunk after the head made the next answer on the
        connection unreadable.
        """
        rig.service("s1")
        head = wire_fixtures.raw_request("HEAD", PREFIX + "/x")
        with rig.connect() as sock:
            sock.sendall(head + wire_fixtures.raw_request("GET", "/v1/models"))
            data = b""
            while b"standin" not in data:
                data += sock.recv(65536)
        first, _, rest = data.partition(b"\r\n\r\n")
        assert first.startswith(b"HTTP/1.1 200")
        assert rest.startswith(b"HTTP/1.1 200")


FAULTS = strategies.fixed_dictionaries(
    {},
    optional={
        "truncate_count": strategies.integers(1, 3),
        "refuse_count": strategies.integers(1, 4),
        "die_before_answer_count": strategies.integers(1, 3),
        "wrong_request_id_count": strategies.integers(1, 3),
        "late_count": strategies.integers(1, 2),
    },
)
CALL = strategies.tuples(
    strategies.sampled_from(["GET", "PUT", "POST", "PATCH"]),
    strategies.sampled_from(["", "k1", "k2"]),
    strategies.sampled_from(["0.02", "5"]),
)
STORE = strategies.lists(
    strategies.sampled_from(
        [
            claim_fakes.Fault.NONE,
            claim_fakes.Fault.DOWN,
            claim_fakes.Fault.ANSWER_LOST,
            claim_fakes.Fault.REQUEST_LOST,
            claim_fakes.Fault.LATE,
            claim_fakes.Fault.DELAYED,
        ]
    ),
    max_size=6,
)


@pytest.fixture(scope="module")
def shared():
    made = fixtures.Rig()
    for name in ("s1", "s2", "s3"):
        made.service(name)
    yield made
    made.stop()


class TestAnyFaults:
    @settings(max_examples=60)
    @given(
        schedule=strategies.tuples(FAULTS, FAULTS, FAULTS),
        store=STORE,
        down=strategies.booleans(),
        calls=strategies.lists(CALL, min_size=2, max_size=8),
    )
    def test_not_run_and_at_most_once(
        self, shared, schedule, store, down, calls
    ):
        """No mix of faults may cause a wrong "not run" or a second run.

        Concurrent calls, some with the same key, meet any faults of the
        services and of the table service.
        """
        shared.store.row_by_key.clear()
        shared.store.transact_faults.clear()
        shared.store.transact_faults.extend(store)
        for service, faults in zip(shared.services.values(), schedule):
            service.journal.clear()
            reset = type(service.faults)(late=0.04)
            for name in reset.__struct_fields__:
                value = faults.get(name, getattr(reset, name))
                setattr(service.faults, name, value)
        if down:
            shared.entry.targets.avoid("s1")
        tasks = [
            gevent.spawn(self.run_call, shared, *arguments)
            for arguments in calls
        ]
        gevent.joinall(tasks, raise_error=True)
        shared.wait_idle()
        ran = runs(shared)
        for task in tasks:
            method, answer = task.value
            count = ran.count(answer.headers["x-request-id"])
            if answer.outcome == "not-run":
                assert count == 0
            if answer.status == 200:
                assert "idempotency-replayed" in answer.headers or count
            if method in ("POST", "PATCH"):
                assert count <= 1
        self.check_keys(shared)

    def check_keys(self, rig):
        journals = [service.journal for service in rig.services.values()]
        claimed = [
            (run.idempotency_key, run.method)
            for journal in journals
            for run in journal
            if run.idempotency_key and run.method in ("POST", "PATCH")
        ]
        keys = [key for key, _ in claimed]
        assert len(keys) == len(set(keys)), claimed

    def run_call(self, rig, method, key, seconds):
        headers = [("X-Request-Timeout", seconds)]
        return method, call(rig, method, key=key, headers=headers)
