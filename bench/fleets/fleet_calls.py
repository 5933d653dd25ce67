"""Calls of callers and operators to a fleet, checked for completeness."""

import enum
import hashlib
import http.client
import json
import time
from typing import Any
from urllib import parse

import msgspec

from bench.fleets import fleet as _fleet

DONE = b"data: [DONE]\n\n"
OPERATOR_TOKEN = "demo-operator-token"
_OUTCOME_HEADER = "topazlug-outcome"
_CONTENT_MARKER = b'"content":"'


class Ending(enum.Enum):
    """How a call ended for its caller."""

    WHOLE = "whole"
    ERROR = "error"
    REFUSED = "refused"
    BROKEN = "broken"


class Answer(msgspec.Struct, kw_only=True):
    """The answer to a call, as its caller received it.

    Attributes
    ----------
    ending : Ending
        REFUSED: the connection was refused before any byte was sent. BROKEN:
        no complete answer was received on an open connection.
    status : int
        HTTP status, 0 without one.
    headers : dict
        By name in lower case.
    body : bytes
        The part of the body that was received.
    started, first, ended : float
        Monotonic seconds; `first` is when the first token was received.
    """

    ending: Ending
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    started: float = 0.0
    first: float = 0.0
    ended: float = 0.0

    @property
    def outcome(self) -> str:
        """Return the daemon's outcome header: whether the request ran."""
        return self.headers.get(_OUTCOME_HEADER, "")

    @property
    def code(self) -> str:
        """Return the error's code, empty without one."""
        try:
            found: str = json.loads(self.body)["error"]["code"]
        except (ValueError, KeyError, TypeError):
            return ""
        return found

    @property
    def document(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


def send(
    url: str,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout: float = 60.0,
) -> Answer:
    """Send one request on a new connection."""
    address = parse.urlsplit(url)
    connection = http.client.HTTPConnection(
        str(address.hostname), address.port, timeout=timeout
    )
    answer = Answer(ending=Ending.BROKEN, started=time.monotonic())
    try:
        connection.connect()
        answer.ending = _exchange(
            connection, answer, method, path, body, headers
        )
    except ConnectionRefusedError:
        answer.ending = Ending.REFUSED
    except (OSError, http.client.HTTPException):
        answer.ending = Ending.BROKEN
    finally:
        answer.ended = time.monotonic()
        connection.close()
    return answer


def _exchange(
    connection: http.client.HTTPConnection,
    answer: Answer,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str] | None,
) -> Ending:
    connection.request(method, path, body=body, headers=headers or {})
    response = connection.getresponse()
    answer.status = response.status
    answer.headers = {
        name.lower(): value for name, value in response.getheaders()
    }
    while block := response.read1(65536):
        answer.body += block
        if not answer.first and _CONTENT_MARKER in answer.body:
            answer.first = time.monotonic()
    # read1() doesn't raise if a body ends before its declared length.
    if response.length:
        return Ending.BROKEN
    return Ending.WHOLE if answer.status < 400 else Ending.ERROR


def chat(
    url: str,
    *,
    key: str,
    question: str,
    model: str,
    chat_id: str = "",
    tokens: int = 16,
    timeout: float = 60.0,
) -> Answer:
    """Send a streamed chat; WHOLE only if all expected tokens arrived."""
    document = {
        "model": model,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": question}],
    }
    answer = send(
        url,
        "POST",
        "/v1/chat/completions",
        body=json.dumps(document).encode(),
        headers=_headers(key) | {"X-Chat-Id": chat_id or question},
        timeout=timeout,
    )
    if answer.ending is Ending.WHOLE and not _has_expected_tokens(
        answer, question, tokens
    ):
        answer.ending = Ending.BROKEN
    return answer


def _headers(key: str) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
    }


def _has_expected_tokens(answer: Answer, question: str, tokens: int) -> bool:
    if not answer.body.endswith(DONE):
        return False
    text = ""
    for line in answer.body.splitlines():
        data = line.removeprefix(b"data: ")
        if data == line or data == b"[DONE]":
            continue
        delta = json.loads(data)["choices"][0]["delta"]
        text += delta.get("content", "")
    digest = hashlib.sha256(question.encode()).hexdigest()[:8]
    return text == "".join(f"{digest}-{i} " for i in range(tokens))


def order(
    url: str,
    *,
    key: str,
    idempotency_key: str,
    service: str,
    body: bytes = b"{}",
    deadline: float = 0.0,
    timeout: float = 60.0,
) -> Answer:
    """Send a request that must not be repeated; `deadline` in seconds."""
    headers = _headers(key) | {"Idempotency-Key": idempotency_key}
    if deadline:
        headers["X-Request-Timeout"] = str(deadline)
    return send(
        url,
        "POST",
        f"/v1/services/{service}/letters",
        body=body,
        headers=headers,
        timeout=timeout,
    )


def operate(
    daemon: _fleet.DaemonProcess,
    method: str,
    path: str,
    document: Any = None,
    *,
    token: str = OPERATOR_TOKEN,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Call a daemon's administration API."""
    return send(
        daemon.administration_url,
        method,
        path,
        body=b"" if document is None else json.dumps(document).encode(),
        headers={"Authorization": f"Bearer {token}"} | (headers or {}),
        timeout=15.0,
    )


def replicas(daemon: _fleet.DaemonProcess) -> dict[str, dict[str, Any]]:
    """Return the replicas that a daemon reports, by id."""
    answer = operate(daemon, "GET", "/v1/status")
    found = answer.document["replicas"]
    return {replica["id"]: replica for replica in found}


def journal(target: _fleet.TargetProcess) -> list[dict[str, Any]]:
    """Return the journal of what a target ran."""
    found: list[dict[str, Any]] = json.loads(
        _fleet.get(f"{target.url}/journal")
    )
    return found


def set_faults(url: str, **switches: Any) -> None:
    """Set faults of a stand-in."""
    _fleet.post(f"{url}/faults", switches)
