"""Chats: the whole answer to the caller's own question, or a failure."""

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
    """Give the engine that answered."""
    return engines[answer.headers["topazlug-replica"]]


def set_all(engines, **faults):
    for engine in engines:
        for name, value in faults.items():
            setattr(engine.faults, name, value)


class TestWholeAnswer:
    @pytest.mark.parametrize("stream", [False, True])
    def test_answer_is_whole(self, rig, stream):
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
    def test_other_engine_answers(self, rig, stream, fault):
        """Symptom: a family gets half an answer, or none.

        Sequence: the chat's home breaks the answer before any of it went to
        the caller. Cause: an engine that fails; another one is free.
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

    def test_json_cut_by_the_end_of_the_connection(self, rig):
        """Symptom: a caller's library fails on half a JSON document.

        Sequence: an engine answers without a length and dies. Cause: the
        connection's end is all that ends such an answer.
        """

        def half(sock):
            if wire_fixtures.read_request(sock):
                sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n{"choices": [{"mess')

        rig.scripted("e1", half)
        answer = ask(rig)
        assert (answer.status, answer.code) == (502, "target_truncated")
        assert answer.outcome == "unknown"

    def test_last_failure_is_told_when_nobody_is_left(self, rig):
        """Symptom: no target, it says, though one broke the answer.

        Cause: the repeat found no second replica, and said so.
        """
        engine = rig.engine("e1")
        engine.faults.truncate_count = 1
        answer = ask(rig)
        assert (answer.status, answer.code) == (502, "target_truncated")
        assert answer.outcome == "unknown"

    @pytest.mark.parametrize("stream", [False, True])
    def test_late_answer(self, rig, stream):
        """Symptom: silence on the line long after the caller's deadline.

        Sequence: the engine answers after the deadline. Cause: it is slow;
        the wait for it must end with the deadline, whatever retries are
        left, and its work must be cancelled.
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

    def test_status_that_nobody_knows(self, rig):
        """Symptom: status 500 in plain text instead of the engine's answer.

        Cause: the status has no standard phrase.
        """

        def odd(sock):
            wire_fixtures.read_request(sock)
            sock.sendall(wire_fixtures.http_answer(b"{}", status="599 Odd"))

        rig.scripted("e1", odd)
        answer = ask(rig)
        assert (answer.status, answer.body) == (599, b"{}")
        rig.wait_idle()


class TestStream:
    @pytest.mark.parametrize("after", range(0, TOKENS + 3))
    def test_cut_stream_is_continued(self, rig, after):
        """Symptom: a word is missing or doubled in the middle.

        Sequence: the engine's connection breaks after some events; it can
        continue the stream. Cause: it must be continued after the last
        whole event.
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

    def test_repeated_events_are_passed_once(self, rig):
        engine = rig.engine("e1")
        set_all([engine], duplicate_events_count=1)
        answer = ask(rig, stream=True)
        assert answer.text == expected("where?")
        assert answer.body.count(b"[DONE]") == 1

    def test_stream_that_can_not_be_continued(self, rig):
        """Symptom: half an answer that looks whole.

        Sequence: the stream breaks, the engine has lost it. Cause: the
        engine can't continue; the caller must see an error event and never
        the closing one, and the slot must not stay taken.
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
        def skipping(sock):
            if b"POST" not in wire_fixtures.read_request(sock):
                sock.sendall(wire_fixtures.http_answer(b"", status="404 No"))
                return
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                b'id: 0\ndata: {"choices":[]}\n\n'
                b'id: 2\ndata: {"choices":[]}\n\ndata: [DONE]\n\n'
            )

        rig.scripted("e1", skipping)
        answer = ask(rig, stream=True)
        assert answer.code == "target_truncated"
        assert not answer.done
        assert b"id: 2" not in answer.body

    def test_break_after_the_closing_event(self, rig):
        """Symptom: an error event after ``[DONE]``.

        Sequence: the engine dies between the closing event and the end of
        its answer. Cause: the end is missing, nothing of the answer is.
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

    def test_engine_that_stalls_in_the_middle(self, rig):
        """Symptom: the caller waits for the next word past its deadline.

        Cause: the deadline was looked at only when bytes came.
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
    """Symptom: engines are full of answers that nobody waits for.

    Sequence: a caller hangs up. Cause: nobody notices before the next
    write, or nobody tells the engine.
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
    def test_before_the_head(self, rig, stream):
        engine = rig.engine("e1")
        set_all([engine], late=600.0, late_count=1)
        self.hang_up(
            rig, engine, lambda: bool(events(engine)["start"]), stream=stream
        )

    def test_in_the_middle_of_a_stream(self, rig):
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

    def test_that_reads_nothing(self, rig, monkeypatch):
        """Symptom: one caller holds a slot for hours.

        Sequence: it asks for a long stream and reads nothing. Cause: the
        write to it blocks, and nothing bounds it.
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


BREAKS = [
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
MIXES = ["own", "previous", "own+previous", "half"]
CALLERS = strategies.lists(
    strategies.tuples(
        strategies.booleans(), strategies.sampled_from([False] * 3 + [True])
    ),
    min_size=2,
    max_size=6,
)


class MixingEngine:
    """Gives now and then the answer to the question before."""

    def __init__(self):
        self.mixes = []
        self.previous = b""

    def script(self, sock):
        while asked := wire_fixtures.read_request(sock):
            if fixtures.CHAT_PATH.encode() not in asked:
                sock.sendall(wire_fixtures.http_answer(b"", status="404 No"))
                continue
            own = self.answer(asked)
            mix = self.mixes.pop() if self.mixes else "own"
            previous, self.previous = self.previous, own
            if mix == "half":
                sock.sendall(own[:-20])
                return
            parts = {"own": own, "previous": previous or own}
            sock.sendall(b"".join(parts[name] for name in mix.split("+")))

    def answer(self, asked):
        head, _, body = asked.partition(b"\r\n\r\n")
        (request_id,) = re.findall(rb"X-Request-Id: (\w+)", head)
        document = json.loads(body)
        text = expected(document["messages"][0]["content"])
        kind = "application/json"
        message = {"message": {"content": text}}
        whole = json.dumps({"choices": [message]}).encode()
        if document["stream"]:
            kind = "text/event-stream"
            delta = {"choices": [{"delta": {"content": text}}]}
            whole = b"id: 0\ndata: %s\n\n" % json.dumps(delta).encode()
            whole += b"data: [DONE]\n\n"
        return wire_fixtures.http_answer(
            whole,
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
        breaks=strategies.tuples(*[strategies.sampled_from(BREAKS)] * 2),
        mixes=strategies.lists(strategies.sampled_from(MIXES), max_size=6),
        callers=CALLERS,
    )
    def test_own_and_whole_or_visibly_failed(
        self, shared, breaks, mixes, callers
    ):
        """Symptom: words of another's answer, or half one that looks whole.

        Sequence: any mix of engines' faults, with callers side by side on
        reused connections, some of which leave. Cause: any.
        """
        shared.mixing.mixes = list(mixes)
        for engine, faults in zip(shared.engines.values(), breaks):
            engine.faults = type(engine.faults)(late=0.005, **faults)
        tasks = [
            gevent.spawn(self.one, shared, f"question {number}", *caller)
            for number, caller in enumerate(callers)
        ]
        gevent.joinall(tasks, raise_error=True)
        shared.wait_idle()

    def one(self, rig, question, stream, leaves):
        if leaves:
            body = wire_fixtures.chat_body(question, stream=stream)
            with rig.connect() as sock:
                sock.sendall(
                    wire_fixtures.raw_request(
                        "POST", fixtures.CHAT_PATH, body=body
                    )
                )
            return
        answer = ask(rig, question, stream=stream)
        whole = expected(question)
        if answer.status == 200 and (answer.done or not stream):
            assert answer.text == whole
        elif answer.status == 200:
            assert answer.code
            answer.body = answer.body.strip().rpartition(b"\n\n")[0]
            assert whole.startswith(answer.text)
        else:
            assert answer.code and answer.outcome in ("not-run", "unknown")
