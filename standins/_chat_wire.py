"""The OpenAI wire format of the model engine."""

import hashlib
import json
from typing import Any

from standins import _generation
from standins import _http
from standins import _prefix_cache

DEFAULT_MAX_TOKENS = 16
DONE_EVENT = b"data: [DONE]\n\n"


def generation_of(
    request: _http.Request, asked: dict[str, Any]
) -> _generation.Generation:
    """Return the generation that a request asks for.

    Raises
    ------
    BadRequest
        The messages or the headers can't be read.
    """
    messages = asked.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _http.BadRequest("messages: send a list with one or more")
    given = asked.get("max_tokens") or asked.get("max_completion_tokens")
    count = given or DEFAULT_MAX_TOKENS
    if not isinstance(count, int) or count < 1:
        raise _http.BadRequest(f"max_tokens is {given!r}; send an int > 0")
    request_id = request.header("X-Request-Id") or f"engine-{id(asked)}"
    return _generation.Generation(
        request_id=request_id,
        chat_id=request.header("X-Chat-Id"),
        priority=_http.int_header(request, "X-Priority", 0),
        chain=_prefix_cache.chain_of(messages),
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
    question = _prefix_cache.text_of(users[-1] if users else messages[-1])
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
    """Return the whole answer."""
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


def newest_id(generation: _generation.Generation) -> int:
    """Return the last event id there is by now, -1 for none."""
    if not generation.begun:
        return -1
    last = 1 if generation.state is _generation.State.DONE else 0
    return generation.produced + last


def stream_event(generation: _generation.Generation, number: int) -> bytes:
    """Return the event `number` of the stream."""
    delta: dict[str, str] = {}
    final_event = number > len(generation.token_texts)
    if number == 0:
        delta = {"role": "assistant", "content": ""}
    elif not final_event:
        delta = {"content": generation.token_texts[number - 1]}
    reason = "stop" if final_event else None
    chunk: dict[str, Any] = {
        "id": "chatcmpl-" + generation.request_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": "standin",
        "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
    }
    if final_event:
        chunk["usage"] = _usage(generation)
    data = json.dumps(chunk, separators=(",", ":"))
    return f"id: {number}\ndata: {data}\n\n".encode()
