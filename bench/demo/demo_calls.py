"""Calls of the demo, sent as a client sends them, and their responses."""

import http.client
import json
import time
from typing import Any
from typing import final

import msgspec

_TIMEOUT_SECONDS = 60.0
_DONE = "[DONE]"


@final
class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request: a POST if it has a body; `key` is the team's API key."""

    port: int
    path: str
    key: str
    body: dict[str, Any] | None = None
    headers: dict[str, str] = {}


@final
class Response(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a call; times are in seconds since the call started."""

    status: int
    headers: dict[str, str]
    text: str
    first: float
    total: float
    whole: bool = True

    def header(self, name: str) -> str:
        """Return a header's value, empty if absent."""
        return self.headers.get(name.lower(), "")

    @property
    def error_code(self) -> str:
        """Return the code of an error, empty for a success."""
        if self.status < 400:
            return ""
        error = json.loads(self.text).get("error", {})
        code: str = error.get("code", "")
        return code


def send(call: Call) -> Response:
    """Send a call and read its response to the end."""
    started = time.monotonic()
    connection = http.client.HTTPConnection(
        "127.0.0.1", call.port, timeout=_TIMEOUT_SECONDS
    )
    try:
        body = None if call.body is None else json.dumps(call.body)
        connection.request(
            "GET" if body is None else "POST",
            call.path,
            body=body,
            headers={
                "Authorization": f"Bearer {call.key}",
                "Content-Type": "application/json",
                **call.headers,
            },
        )
        answer = connection.getresponse()
        return _read(answer, started)
    finally:
        connection.close()


def _read(answer: http.client.HTTPResponse, started: float) -> Response:
    lines = []
    first = 0.0
    while line := answer.readline():
        first = first or time.monotonic() - started
        lines.append(line)
    total = time.monotonic() - started
    headers = {name.lower(): value for name, value in answer.getheaders()}
    body_text = b"".join(lines).decode()
    streamed = headers.get("content-type", "") == "text/event-stream"
    return Response(
        status=answer.status,
        headers=headers,
        text=_join_stream(body_text) if streamed else body_text,
        first=first or total,
        total=total,
        whole=not streamed or f"data: {_DONE}" in body_text,
    )


def _join_stream(body_text: str) -> str:
    """Join the text of a streamed answer."""
    text_so_far = ""
    for line in body_text.splitlines():
        _, mark, data = line.partition("data: ")
        if not mark or data == _DONE:
            continue
        for choice in json.loads(data).get("choices", []):
            text_so_far += choice.get("delta", {}).get("content") or ""
    return text_so_far


def answer_text(response: Response, *, streamed: bool) -> str:
    """Return the text of the model's answer."""
    if streamed:
        return response.text
    choices = json.loads(response.text)["choices"]
    content: str = choices[0]["message"]["content"]
    return content
