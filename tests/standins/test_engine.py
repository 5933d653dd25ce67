"""The protocol of the model engine, and its faults."""

import hashlib
import json

import pytest

PATH = "/v1/chat/completions"
END_OF_CHUNKS = b"0\r\n\r\n"


def chat_body(question="hi", **more):
    messages = [{"role": "user", "content": question}]
    return {"messages": messages, "max_tokens": 5, **more}


def ids(raw):
    lines = raw.decode().splitlines()
    return [int(line[4:]) for line in lines if line.startswith("id: ")]


def events(engine, request_id):
    journal = engine.json("/journal")
    return [
        entry["event"]
        for entry in journal
        if entry["request_id"] == request_id
    ]


class TestAnswer:
    def test_answer_contains_the_hash_of_the_question(self, engine):
        answer = engine.json(PATH, chat_body("why?"))
        text = answer["choices"][0]["message"]["content"]
        digest = hashlib.sha256(b"why?").hexdigest()[:8]
        assert text == "".join(f"{digest}-{index} " for index in range(5))

    def test_stream_is_whole(self, engine):
        _, _, raw = engine.call(PATH, chat_body(stream=True))
        assert ids(raw) == list(range(7)) and raw.endswith(b"[DONE]\n\n")

    def test_usage_is_on_the_last_chunk(self, engine):
        _, _, raw = engine.call(PATH, chat_body(stream=True))
        last = raw.split(b"data: ")[-2].split(b"\n")[0]
        assert json.loads(last)["usage"]["completion_tokens"] == 5

    def test_history_of_a_chat_is_cached(self, engine):
        first = chat_body("q" * 400)
        answer = engine.json(PATH, first)["choices"][0]["message"]
        more = {"role": "user", "content": "more"}
        longer = [*first["messages"], answer, more]
        _, headers, _ = engine.call(PATH, {"messages": longer})
        history = 101 + len(answer["content"]) // 4 + 1
        assert headers["X-Cached-Tokens"] == str(history)

    def test_stale_fencing_number_is_rejected(self, engine):
        engine.call(PATH, chat_body(), X_Fencing_Number="5")
        status, _, raw = engine.call(PATH, chat_body(), X_Fencing_Number="4")
        code = json.loads(raw)["error"]["code"]
        assert (status, code) == (409, "stale_fencing_number")

    def test_lower_priority_number_is_served_first(self, engine, eventually):
        engine.call("/faults", {"stalled": True})
        open_sockets = [engine.open_post(PATH, chat_body(), "first")]
        eventually(lambda: events(engine, "first") == ["start"])
        for priority in ("9", "0"):
            open_sockets.append(
                engine.open_post(
                    PATH, chat_body(), f"p{priority}\r\nX-Priority: {priority}"
                )
            )
            count = len(open_sockets) - 1
            eventually(lambda: engine.json("/load")["waiting"] == count)
        engine.call("/faults", {"stalled": False})
        eventually(lambda: events(engine, "p9") == ["start", "end"])
        order = [entry["request_id"] for entry in engine.json("/journal")]
        assert order.index("p0") < order.index("p9")
        for sock in open_sockets:
            sock.close()


class TestStreams:
    def test_cut_stream_has_no_closing_chunk(self, engine):
        engine.call("/faults", {"truncate_count": 1, "truncate_after": 2})
        raw = engine.raw(PATH, chat_body(stream=True), "r")
        assert ids(raw) == [0, 1] and END_OF_CHUNKS not in raw

    def test_cut_stream_is_resumed(self, engine):
        engine.call("/faults", {"truncate_count": 1, "truncate_after": 2})
        engine.raw(PATH, chat_body(stream=True), "r")
        _, _, raw = engine.call("/v1/streams/r", Last_Event_ID="1")
        assert ids(raw) == [2, 3, 4, 5, 6]

    def test_duplicate_events(self, engine):
        engine.call("/faults", {"duplicate_events_count": 1})
        _, _, raw = engine.call(PATH, chat_body(stream=True))
        assert ids(raw) == sorted([*range(7)] * 2)

    def test_cancel_frees_the_slot(self, engine, eventually):
        body = chat_body(stream=True, max_tokens=100_000)
        with engine.open_post(PATH, body, "r"):
            eventually(lambda: events(engine, "r") == ["start"])
            assert engine.call("/v1/streams/r/cancel", {})[0] == 204
            assert engine.json("/load")["running"] == 0

    def test_stream_without_followers_is_cancelled(self, engine, eventually):
        body = chat_body(stream=True, max_tokens=100_000)
        engine.open_post(PATH, body, "r").close()
        eventually(lambda: events(engine, "r") == ["start", "cancel"])

    def test_disconnect_cancels_a_waiting_request(self, engine, eventually):
        engine.call("/faults", {"stalled": True})
        engine.open_post(PATH, chat_body(), "r").close()
        eventually(lambda: events(engine, "r") == ["start", "cancel"])

    def test_run_with_a_repeated_id_is_cancelled(self, engine, eventually):
        """A slot was never freed.

        The same request id was sent twice and both clients disconnected. The
        second run replaced the first in the dictionary that was swept.
        """
        engine.call("/faults", {"stalled": True})
        for _ in range(2):
            engine.open_post(PATH, chat_body(stream=True), "r").close()
        expected = ["cancel", "cancel", "start", "start"]
        eventually(lambda: sorted(events(engine, "r")) == expected)

    def test_resume_can_be_disabled(self, engine):
        engine.call("/faults", {"truncate_count": 1, "resume_works": False})
        engine.raw(PATH, chat_body(stream=True), "r")
        assert engine.call("/v1/streams/r", Last_Event_ID="1")[0] == 404


class TestLoad:
    def test_load_lags(self, start, eventually):
        engine = start(
            *("engine", "--id", "e", "--pool", "p", "--load-lag", "50")
        )
        engine.call("/faults", {"stalled": True})
        with engine.open_post(PATH, chat_body(), "r"):
            eventually(lambda: events(engine, "r") == ["start"])
            assert engine.json("/load")["running"] == 0

    def test_frozen_engine_continues_when_unfrozen(self, engine):
        engine.call("/faults", {"freeze": True})
        with engine.open_post(PATH, chat_body(), "r") as sock:
            sock.settimeout(0.3)
            with pytest.raises(TimeoutError):
                sock.recv(1)
            engine.call("/faults", {"freeze": False})
            sock.settimeout(10)
            assert sock.recv(4) == b"HTTP"


class TestRejection:
    def test_leaving_engine_rejects_before_running(self, engine):
        engine.call("/admin/leave", {})
        status, headers, _ = engine.call(PATH, chat_body(), X_Request_Id="r")
        state_headers = (headers["X-Not-Run"], headers["X-Target-State"])
        assert (status, state_headers) == (503, ("true", "leaving"))
        assert events(engine, "r") == ["refused"]

    def test_garbage_is_not_http(self, engine):
        engine.call("/faults", {"garbage_count": 1})
        assert not engine.raw(PATH, chat_body(), "r").startswith(b"HTTP")
