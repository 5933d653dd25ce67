"""The OpenAI wire format of the model engine."""

import hashlib
import json
from typing import Any

from standins import _generation
from standins import _http
from standins import _prefix_cache

DEFAULT_MAX_TOKENS = 16
DONE_EVENT = b"data: [DONE]\n\n"


def parse_generation(
    request: _http.Request, body: dict[str, Any]
) -> _generation.Generation:
    """Return the generation for a request.

    Raises
    ------
    BadRequest
        If the messages or the headers are invalid.
    """
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _http.BadRequest("messages: send a list with one or more")
    given = body.get("max_tokens") or body.get("max_completion_tokens")
    count = given or DEFAULT_MAX_TOKENS
    if not isinstance(count, int) or count < 1:
        raise _http.BadRequest(f"max_tokens is {given!r}; send an int > 0")
    request_id = request.header("X-Request-Id") or f"engine-{id(body)}"
    return _generation.Generation(
        request_id=request_id,
        chat_id=request.header("X-Chat-Id"),
        priority=_http.int_header(request, "X-Priority", 0),
        chain=_prefix_cache.parse_chain(messages),
        token_texts=token_texts(messages, count),
    )


def token_texts(messages: list[Any], count: int) -> list[str]:
    """Return the answer to `messages`: ``<hash of the question>-<i> ``.

    The hash is the first eight hexadecimal digits of the SHA-256 of the
    last user message's text.
    """
    users = [
        message
        for message in messages
        if isinstance(message, dict) and message.get("role") == "user"
    ]
    question = _prefix_cache.message_text(users[-1] if users else messages[-1])
    digest = hashlib.sha256(question.encode()).hexdigest()[:8]
    return [f"{digest}-{index} " for index in range(count)]


def _usage(generation: _generation.Generation) -> dict[str, Any]:
    completion = generation.produced
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": generation.prompt_tokens + completion,
        "prompt_tokens_details": {"cached_tokens": generation.cached_tokens},
    }


def completion(generation: _generation.Generation) -> dict[str, Any]:
    """Return the answer as a chat completion object."""
    message = {"role": "assistant", "content": generation.text()}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return {
        "id": "chatcmpl-" + generation.request_id,
        "object": "chat.completion",
        "created": 0,
        "model": "standin",
        "choices": [choice],
        "usage": _usage(generation),
    }


def last_event_id(generation: _generation.Generation) -> int:
    """Return the id of the latest event, -1 if there is none."""
    if not generation.prefilled:
        return -1
    last = 1 if generation.state is _generation.State.DONE else 0
    return generation.produced + last


def stream_event(generation: _generation.Generation, number: int) -> bytes:
    """Return the event `number` of the stream."""
    delta: dict[str, str] = {}
    is_last = number > len(generation.token_texts)
    if number == 0:
        delta = {"role": "assistant", "content": ""}
    elif not is_last:
        delta = {"content": generation.token_texts[number - 1]}
    reason = "stop" if is_last else None
    chunk: dict[str, Any] = {
        "id": "chatcmpl-" + generation.request_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": "standin",
        "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
    }
    if is_last:
        chunk["usage"] = _usage(generation)
    data = json.dumps(chunk, separators=(",", ":"))
    return f"id: {number}\ndata: {data}\n\n".encode()
