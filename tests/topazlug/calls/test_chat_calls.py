"""Tests that a chat gets its own complete answer, or a visible failure."""

import hashlib
import json
import re

import gevent
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import openai
import pytest

from tests.topazlug import routing_fixtures as fixtures
from tests.topazlug import wire_fixtures

TOKENS = 8


@pytest.fixture
def rig():
    made = fixtures.Rig()
    yield made
    made.stop()


def expected(question, count=TOKENS):
    digest = hashlib.sha256(question.encode()).hexdigest()[:8]
    return "".join(f"{digest}-{index} " for index in range(count))


def ask(rig, question="where?", *, stream=False, **options):
    options = {"max_tokens": TOKENS, **options}
    return rig.chat(question, stream=stream, **options)


def events(engine):
    return fixtures.journal_events(engine)


def only(answer, engines):
    """Return the engine that answered."""
    return engines[answer.headers["topazlug-replica"]]


def set_all(engines, **faults):
    for engine in engines:
        for name, value in faults.items():
            setattr(engine.faults, name, value)


class TestCompleteAnswer:
    @pytest.mark.parametrize("stream", [False, True])
    def test_answer_is_complete(self, rig, stream):
        rig.engine("e1")
        answer = ask(rig, stream=stream)
        assert (answer.status, answer.outcome) == (200, "ran")
        assert answer.text == expected("where?")
        assert answer.whole
        assert answer.done is stream
        rig.wait_idle()

    @pytest.mark.parametrize(
        "fault",
        [
            {"truncate_count": 1},
            {"garbage_count": 1},
            {"wrong_request_id_count": 1},
            {"refuse_count": 1},
        ],
    )
    @pytest.mark.parametrize("stream", [False, True])
    def test_another_engine_answers(self, rig, stream, fault):
        """A chat must be repeated if nothing was sent to the caller yet.

        The chat's engine fails before that, while another engine is free.
        """
        engines = [rig.engine(name) for name in ("e1", "e2")]
        home = only(ask(rig), rig.engines)
        set_all([home], **fault)
        answer = ask(rig, stream=stream)
        assert answer.text == expected("where?")
        assert only(answer, rig.engines) is not home
        rig.wait_idle()
        for engine in engines:
            fixtures.wait_until(lambda: engine._scheduler.running == 0)

    def test_json_truncated_by_the_end_of_the_connection(self, rig):
        """A truncated JSON document must not be sent to the caller.

        An engine answers without a length and dies. Such an answer ends with
        its connection, and the caller's library failed to parse it.
        """

        def half(sock):
            if wire_fixtures.read_request(sock):
                sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n{"choices": [{"mess')

        rig.scripted("e1", half)
        answer = ask(rig)
        assert (answer.status, answer.code) == (502, "target_truncated")
        assert answer.outcome == "unknown"

    def test_failure_is_returned_if_no_engine_remains(self, rig):
        """The failure of an attempt must not be hidden by its retry.

        The retry found no second replica, and the error was "no target".
        """
        engine = rig.engine("e1")
        engine.faults.truncate_count = 1
        answer = ask(rig)
        assert (answer.status, answer.code) == (502, "target_truncated")
        assert answer.outcome == "unknown"

    @pytest.mark.parametrize("stream", [False, True])
    def test_late_answer(self, rig, stream):
        """A slow engine must not delay the failure beyond the deadline.

        The wait must end at the deadline even if retries remain, and the
        engine's work must be cancelled.
        """
        engine, spare = [rig.engine(name) for name in ("e1", "e2")]
        set_all([engine, spare], late=600.0, late_count=9)
        answer = ask(
            rig, stream=stream, headers=[("X-Request-Timeout", "0.1")]
        )
        assert (answer.status, answer.code) == (504, "deadline_exceeded")
        assert answer.outcome == "unknown"
        assert rig.budget.spent == 0
        rig.wait_idle()

    def test_nonstandard_status(self, rig):
        """An answer with a nonstandard status must be relayed.

        The caller received status 500 in plain text, because the status has
        no standard phrase.
        """

        def nonstandard(sock):
            wire_fixtures.read_request(sock)
            sock.sendall(wire_fixtures.http_answer(b"{}", status="599 Odd"))

        rig.scripted("e1", nonstandard)
        answer = ask(rig)
        assert (answer.status, answer.body) == (599, b"{}")
        rig.wait_idle()


class TestStream:
    @pytest.mark.parametrize("after", range(0, TOKENS + 3))
    def test_broken_stream_is_resumed(self, rig, after):
        """A broken stream must be resumed after the last complete event.

        Otherwise a word would be missing or duplicated in the answer.
        """
        for name in ("e1", "e2"):
            rig.engine(name)
        home = only(ask(rig), rig.engines)
        set_all([home], truncate_count=1, truncate_after=after)
        answer = ask(rig, stream=True)
        assert answer.text == expected("where?")
        assert answer.done and answer.whole
        assert (only(answer, rig.engines) is home) is (after > 0)
        rig.wait_idle()

    def test_repeated_events_are_relayed_once(self, rig):
        engine = rig.engine("e1")
        set_all([engine], duplicate_events_count=1)
        answer = ask(rig, stream=True)
        assert answer.text == expected("where?")
        assert answer.body.count(b"[DONE]") == 1

    def test_stream_that_can_not_be_resumed(self, rig):
        """A truncated stream must not look complete.

        If the engine can't resume a broken stream, the caller must receive an
        error event and never the closing event, and the slot must be released.
        """
        engine = rig.engine("e1")
        set_all(
            [engine], truncate_count=1, truncate_after=3, resume_works=False
        )
        answer = ask(rig, stream=True, max_tokens=10000)
        assert answer.code == "target_truncated"
        assert b"[DONE]" not in answer.body
        fixtures.wait_until(lambda: events(engine)["cancel"] == 1)
        rig.wait_idle()

    def test_missing_event(self, rig):
        def skip_event(sock):
            if b"POST" not in wire_fixtures.read_request(sock):
                sock.sendall(wire_fixtures.http_answer(b"", status="404 No"))
                return
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                b'id: 0\ndata: {"choices":[]}\n\n'
                b'id: 2\ndata: {"choices":[]}\n\ndata: [DONE]\n\n'
            )

        rig.scripted("e1", skip_event)
        answer = ask(rig, stream=True)
        assert answer.code == "target_truncated"
        assert not answer.done
        assert b"id: 2" not in answer.body

    def test_break_after_the_closing_event(self, rig):
        """There must be no error event after ``[DONE]``.

        If the engine dies between the closing event and the end of its
        answer, all events of the answer have been received.
        """

        def script(sock):
            if b"POST" not in wire_fixtures.read_request(sock):
                return
            body = b"data: [DONE]\n\n"
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                b"Content-Type: text/event-stream\r\n\r\n"
                b"%x\r\n%s\r\n" % (len(body), body)
            )

        rig.scripted("e1", script)
        answer = ask(rig, stream=True)
        assert answer.body == b"data: [DONE]\n\n"
        assert answer.whole
        rig.wait_idle()

    def test_engine_that_stalls_during_a_stream(self, rig):
        """A stalled stream must end at the deadline.

        The deadline was checked only when bytes arrived.
        """
        engine = rig.engine("e1", token_interval=0.05)
        started = gevent.spawn(
            ask,
            rig,
            stream=True,
            max_tokens=50,
            headers=[("X-Request-Timeout", "0.3")],
        )
        fixtures.wait_until(lambda: events(engine)["start"] == 1)
        engine.faults.stalled = True
        answer = started.get()
        assert answer.code == "deadline_exceeded"
        assert b"[DONE]" not in answer.body
        fixtures.wait_until(lambda: events(engine)["cancel"] == 1)
        rig.wait_idle()


class TestCallerLeaves:
    """A call must be cancelled on its engine when its caller disconnects.

    Engines were busy with answers without a caller, because the disconnect
    was noticed only at the next write, or not reported to the engine.
    """

    def hang_up(self, rig, engine, ready, **options):
        body = wire_fixtures.chat_body("where?", max_tokens=100000, **options)
        sock = rig.connect()
        sock.sendall(
            wire_fixtures.raw_request("POST", fixtures.CHAT_PATH, body=body)
        )
        fixtures.wait_until(ready)
        assert rig.held_load() == 1
        sock.close()
        fixtures.wait_until(lambda: events(engine)["cancel"] == 1)
        assert engine._scheduler.running == 0
        rig.wait_idle()

    @pytest.mark.parametrize("stream", [False, True])
    def test_during_prefill(self, rig, stream):
        engine = rig.engine("e1")
        engine.faults.stalled = True
        self.hang_up(
            rig, engine, lambda: bool(events(engine)["start"]), stream=stream
        )

    @pytest.mark.parametrize("stream", [False, True])
    def test_before_the_answer(self, rig, stream):
        engine = rig.engine("e1")
        set_all([engine], late=600.0, late_count=1)
        self.hang_up(
            rig, engine, lambda: bool(events(engine)["start"]), stream=stream
        )

    def test_during_a_stream(self, rig):
        engine = rig.engine("e1")
        body = wire_fixtures.chat_body("q", stream=True, max_tokens=100000)
        sock = rig.connect()
        sock.sendall(
            wire_fixtures.raw_request("POST", fixtures.CHAT_PATH, body=body)
        )
        seen = b""
        while b"id: 3" not in seen:
            seen += sock.recv(65536)
        sock.close()
        fixtures.wait_until(lambda: events(engine)["cancel"] == 1)
        rig.wait_idle()

    def test_caller_that_does_not_read(self, rig, monkeypatch):
        """A caller that does not read its stream must not hold a slot.

        The write to it blocked without a timeout, and it held its slot for
        hours.
        """
        monkeypatch.setattr(
            "topazlug.callers._caller_connection._WRITE_SECONDS", 0.05
        )
        engine = rig.engine("e1", token_interval=0.0)
        question = "x" * 1000
        body = wire_fixtures.chat_body(
            question, stream=True, max_tokens=200000
        )
        sock = rig.connect()
        sock.sendall(
            wire_fixtures.raw_request("POST", fixtures.CHAT_PATH, body=body)
        )
        fixtures.wait_until(lambda: bool(events(engine)["start"]))
        rig.wait_idle()
        sock.close()


class TestStockClient:
    @pytest.fixture
    def client(self, rig):
        rig.engine("e1")
        with openai.OpenAI(
            base_url=f"http://127.0.0.1:{rig.port}/v1",
            api_key=fixtures.KEY,
            max_retries=0,
        ) as made:
            yield made

    def test_json(self, client):
        answer = client.chat.completions.create(
            model="standin",
            messages=[{"role": "user", "content": "hi"}],
            max_tokens=4,
        )
        assert answer.choices[0].message.content == expected("hi", 4)
        assert [model.id for model in client.models.list()] == ["standin"]

    def test_stream(self, client):
        stream = client.chat.completions.create(
            model="standin",
            messages=[{"role": "user", "content": "hi"}],
            max_tokens=4,
            stream=True,
        )
        parts = [chunk.choices[0].delta.content or "" for chunk in stream]
        assert "".join(parts) == expected("hi", 4)

    def test_error_is_typed(self, client):
        with pytest.raises(openai.NotFoundError) as caught:
            client.chat.completions.create(
                model="none", messages=[{"role": "user", "content": "hi"}]
            )
        assert caught.value.code == "model_not_found"


ENGINE_FAULTS = [
    {},
    {"truncate_count": 2, "truncate_after": 0},
    {"truncate_count": 2, "truncate_after": 3},
    {"truncate_count": 9, "truncate_after": 2},
    {"truncate_count": 2, "truncate_after": 5, "resume_works": False},
    {"truncate_count": 1, "truncate_after": 4, "duplicate_events_count": 2},
    {"wrong_request_id_count": 2},
    {"refuse_count": 2},
    {"garbage_count": 2},
    {"late_count": 2},
]
MIXED_ANSWERS = ["own", "previous", "own+previous", "half"]
CALLERS = strategies.lists(
    strategies.tuples(
        strategies.booleans(), strategies.sampled_from([False] * 3 + [True])
    ),
    min_size=2,
    max_size=6,
)


class MixingEngine:
    """Sometimes sends the answer to the previous question."""

    def __init__(self):
        self.mixed_answers = []
        self.previous = b""

    def script(self, sock):
        while received := wire_fixtures.read_request(sock):
            if fixtures.CHAT_PATH.encode() not in received:
                sock.sendall(wire_fixtures.http_answer(b"", status="404 No"))
                continue
            own = self.answer(received)
            mixed = self.mixed_answers.pop() if self.mixed_answers else "own"
            previous, self.previous = self.previous, own
            if mixed == "half":
                sock.sendall(own[:-20])
                return
            parts = {"own": own, "previous": previous or own}
            sock.sendall(b"".join(parts[name] for name in mixed.split("+")))

    def answer(self, received):
        head, _, body = received.partition(b"\r\n\r\n")
        (request_id,) = re.findall(rb"X-Request-Id: (\w+)", head)
        document = json.loads(body)
        text = expected(document["messages"][0]["content"])
        kind = "application/json"
        message = {"message": {"content": text}}
        answer_body = json.dumps({"choices": [message]}).encode()
        if document["stream"]:
            kind = "text/event-stream"
            delta = {"choices": [{"delta": {"content": text}}]}
            answer_body = b"id: 0\ndata: %s\n\n" % json.dumps(delta).encode()
            answer_body += b"data: [DONE]\n\n"
        return wire_fixtures.http_answer(
            answer_body,
            f"Content-Type: {kind}",
            f"X-Request-Id: {request_id.decode()}",
        )


@pytest.fixture(scope="module")
def shared():
    made = fixtures.Rig()
    for name in ("e1", "e2"):
        made.engine(name, token_interval=0.001)
    made.mixing = MixingEngine()
    made.scripted("e3", made.mixing.script)
    yield made
    made.stop()


class TestAnyFaults:
    @settings(max_examples=60)
    @given(
        engine_faults=strategies.tuples(
            *[strategies.sampled_from(ENGINE_FAULTS)] * 2
        ),
        mixed_answers=strategies.lists(
            strategies.sampled_from(MIXED_ANSWERS), max_size=6
        ),
        callers=CALLERS,
    )
    def test_own_complete_answer_or_visible_failure(
        self, shared, engine_faults, mixed_answers, callers
    ):
        """No mix of faults may expose a foreign or truncated answer.

        Concurrent callers share reused connections to engines with any
        faults, and some callers disconnect.
        """
        shared.mixing.mixed_answers = list(mixed_answers)
        for engine, faults in zip(shared.engines.values(), engine_faults):
            engine.faults = type(engine.faults)(late=0.005, **faults)
        tasks = [
            gevent.spawn(
                self.run_caller, shared, f"question {number}", *caller
            )
            for number, caller in enumerate(callers)
        ]
        gevent.joinall(tasks, raise_error=True)
        shared.wait_idle()

    def run_caller(self, rig, question, stream, disconnects):
        if disconnects:
            body = wire_fixtures.chat_body(question, stream=stream)
            with rig.connect() as sock:
                sock.sendall(
                    wire_fixtures.raw_request(
                        "POST", fixtures.CHAT_PATH, body=body
                    )
                )
            return
        answer = ask(rig, question, stream=stream)
        full_text = expected(question)
        if answer.status == 200 and (answer.done or not stream):
            assert answer.text == full_text
        elif answer.status == 200:
            assert answer.code
            answer.body = answer.body.strip().rpartition(b"\n\n")[0]
            assert full_text.startswith(answer.text)
        else:
            assert answer.code and answer.outcome in ("not-run", "unknown")
