"""The sessions that are stored as golden files.

The docstring of a session is the title in its golden file, its name that of
the file. No two sessions send the same text, so that none finds the context of
another in an engine's cache.
"""

import json
import time
from typing import Any

from golden_recorder import Recorder

TEAM = "key-of-udelar"
OTHER_TEAM = "key-of-ort"
CHAT = "/v1/chat/completions"
SERVICE = "/v1/services/inscripciones/visitors"
TOKENS = 4


def chat_body(question: str, **fields: Any) -> dict[str, Any]:
    """Return the body of a chat request with one question."""
    return {
        "model": "asistente-1",
        "messages": [{"role": "user", "content": question}],
        "max_tokens": TOKENS,
        **fields,
    }


def chat(recorder: Recorder) -> None:
    """Give a chat's answer as one JSON document."""
    recorder.call("/v1/models", key=TEAM)
    recorder.call(CHAT, chat_body("When does it begin?"), key=TEAM)


def streamed_chat(recorder: Recorder) -> None:
    """Stream a chat's answer, event by event."""
    body = chat_body("Where do we meet?", stream=True)
    recorder.call(CHAT, body, key=TEAM)


def returning_chat(recorder: Recorder) -> None:
    """A chat returns to another daemon and finds its context."""
    body = chat_body("Which bus goes to Salto?")
    answer = json.loads(recorder.call(CHAT, body, key=TEAM))
    body["messages"].append(answer["choices"][0]["message"])
    body["messages"].append({"role": "user", "content": "And back?"})
    recorder.call(CHAT, body, key=TEAM, daemon=1)


def named_chat(recorder: Recorder) -> None:
    """A chat's name is each team's own; a daemon asks the same replica."""
    body = chat_body("May we bring the dog?")
    recorder.call(CHAT, body, key=TEAM, X_Chat_Id="family-1")
    recorder.call(CHAT, body, key=TEAM, X_Chat_Id="family-1", daemon=1)


def plain_service(recorder: Recorder) -> None:
    """A registration runs once; its repeat hears the first answer."""
    body = {"name": "Ana", "seats": 2}
    headers = {"Idempotency_Key": f"golden-{time.time_ns()}"}
    key = headers["Idempotency_Key"]
    recorder.call(SERVICE, body, key=TEAM, **headers)
    recorder.wait_until_stored(SERVICE, body, key=TEAM, **headers)
    recorder.call(SERVICE, body, key=TEAM, daemon=1, **headers)
    recorder.add_comment("another body under the same key")
    recorder.call(SERVICE, {"seats": 9}, key=TEAM, **headers)
    recorder.add_comment("the same key of another team is another key")
    recorder.call(SERVICE, body, key=OTHER_TEAM, **headers)
    recorder.add_comment("no key, where the row demands one")
    recorder.call(SERVICE, body, key=TEAM)
    recorder.add_comment("a method that may be repeated needs none")
    recorder.call(SERVICE, key=TEAM)
    recorder.add_replacement(key, "<key>")


def bad_key(recorder: Recorder) -> None:
    """Nobody's API key."""
    recorder.call(CHAT, chat_body("Hello?"), key="key-of-nobody")
    recorder.call("/v1/models", key="")


def bad_body(recorder: Recorder) -> None:
    """Bodies and headers that are not what the interface asks for."""
    recorder.call(CHAT, "{not json", key=TEAM)
    recorder.call(CHAT, {"model": "asistente-1"}, key=TEAM)
    recorder.call(CHAT, chat_body("x", messages=[]), key=TEAM)
    body = chat_body("x")
    recorder.call(CHAT, body, key=TEAM, X_Request_Timeout="soon")
    recorder.call(CHAT, body, key=TEAM, X_Request_Class="urgent")
    recorder.call(CHAT, body, key=TEAM, X_Chat_Id="c" * 257)


def unknown_names(recorder: Recorder) -> None:
    """A model, a service, a path and a method that there are not."""
    body = chat_body("x", model="asistente-9")
    recorder.call(CHAT, body, key=TEAM)
    recorder.call("/v1/services/nothing/visitors", key=TEAM)
    recorder.call("/v2/chat", key=TEAM)
    recorder.call(CHAT, key=TEAM, method="PUT")


def truncated_and_resumed(recorder: Recorder) -> None:
    """The engine's stream breaks after two events and is continued."""
    recorder.set_faults(truncate_after=2, truncate_count=1)
    body = chat_body("What does it cost?", stream=True)
    recorder.call(CHAT, body, key=TEAM)


def truncated(recorder: Recorder) -> None:
    """The engine's stream breaks and can't be continued."""
    recorder.set_faults(truncate_after=2, truncate_count=1, resume_works=False)
    body = chat_body("Is there a lift?", stream=True)
    recorder.call(CHAT, body, key=TEAM)


def truncated_json(recorder: Recorder) -> None:
    """A document that ends in its middle is asked for again elsewhere."""
    body = chat_body("Who sleeps where?")
    recorder.call(CHAT, body, key=TEAM)
    recorder.add_comment(
        "the replica that answered now breaks its next answer"
    )
    recorder.set_faults(recorder.replica, truncate_count=1)
    recorder.call(CHAT, body, key=TEAM)


def lost_answer(recorder: Recorder) -> None:
    """A registration runs, its answer is lost: unknown, and never again."""
    recorder.set_service_faults(die_before_answer_count=1)
    headers = {"Idempotency_Key": f"golden-{time.time_ns()}"}
    recorder.add_replacement(headers["Idempotency_Key"], "<key>")
    body = {"name": "Luis", "seats": 1}
    recorder.call(SERVICE, body, key=TEAM, **headers)
    recorder.call(SERVICE, body, key=TEAM, daemon=1, **headers)
    recorder.add_comment(f"the service ran {recorder.new_runs()} request")


def refused(recorder: Recorder) -> None:
    """Both engines say that they did not run it."""
    recorder.set_faults(refuse_count=9)
    recorder.call(CHAT, chat_body("Is it full?"), key=TEAM)


def late(recorder: Recorder) -> None:
    """The engine answers after the request's deadline."""
    recorder.set_faults(late=3.0, late_count=9)
    body = chat_body("Is anybody there?")
    recorder.call(CHAT, body, key=TEAM, X_Request_Timeout="0.5")


BY_NAME = {
    session.__name__.replace("_", "-"): session
    for session in (
        chat,
        streamed_chat,
        returning_chat,
        named_chat,
        plain_service,
        bad_key,
        bad_body,
        unknown_names,
        truncated_and_resumed,
        truncated,
        truncated_json,
        lost_answer,
        refused,
        late,
    )
}
