"""Calls that the demo sends to a fleet, and the expected responses."""

from collections.abc import Iterator
from http import HTTPStatus
import json
import time
from typing import Any
from typing import final
import uuid

import msgspec

from bench.demo import demo_calls
from bench.fleets import deployment as _deployment
from bench.fleets import fleet as _fleet
from topazlug import _errors

# The prompt names the team: with one common prompt, the context of the first
# chat would be reused for the others, and a new chat would be a cache hit.
_SYSTEM = (
    "You answer for the desk of {team}. Give times, places and documents as"
    " they stand in the programme, and say so when you don't know."
)
_QUESTIONS = (
    "When does the open day begin, and where do we have to be?",
    "Which bus goes back in the evening?",
    "What do I have to bring along?",
)
_FOLLOW_UP = "And what if we come late?"
_TOKENS = 12
# No human reads and replies faster. A turn sent within a few milliseconds can
# reach the replica's owner before the release of the previous turn's slot.
_PAUSE_BEFORE_TURN = 0.2
_MAX_REPEAT_SECONDS = 5.0
_REPEAT_PAUSE = 0.05


@final
class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the demo's table; times in seconds."""

    what: str
    team: str
    daemon: str
    replica: str = ""
    cache: str = ""
    first: float = 0.0
    total: float = 0.0
    outcome: str = ""
    as_expected: bool = True


@final
class Demo:
    """Sends chats and service calls, one after the other.

    Parameters
    ----------
    fleet : Fleet
        A fleet that is ready.
    """

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self._fleet = fleet
        self._calls = 0

    @property
    def _model(self) -> str:
        return self._fleet.deployment.pools[0].model

    def rows(self) -> Iterator[Row]:
        """Send all calls and yield a row for each."""
        teams = self._fleet.deployment.teams[: len(_QUESTIONS)]
        for number, (team, question) in enumerate(zip(teams, _QUESTIONS)):
            yield from self._conversation(
                team, question, streamed=number != len(_QUESTIONS) - 1
            )
        for service in self._fleet.deployment.services[:1]:
            yield from self._service_calls(service, teams[0])
        yield self._rejected_row(
            "chat, bad key",
            teams[0],
            _errors.BadKey,
            self._chat("nobody's key", [], streamed=False),
        )
        yield self._rejected_row(
            "chat, bad model",
            teams[0],
            _errors.UnknownModel,
            self._chat(
                teams[0].key,
                [_user(_QUESTIONS[0])],
                streamed=False,
                model="no-such-model",
            ),
        )

    def _next_daemon(self) -> _fleet.DaemonProcess:
        """Return the daemons in turn, as a load balancer would."""
        daemons = self._fleet.daemons
        self._calls += 1
        return daemons[self._calls % len(daemons)]

    def _conversation(
        self, team: _deployment.Team, question: str, *, streamed: bool
    ) -> Iterator[Row]:
        kind = "streamed" if streamed else "JSON"
        system = _SYSTEM.format(team=team.name)
        messages = [{"role": "system", "content": system}, _user(question)]
        call = self._chat(team.key, messages, streamed=streamed)
        response = demo_calls.send(call)
        yield self._chat_row(
            f"new chat, {kind}", team, call, response, expects_hit=False
        )
        if response.status != HTTPStatus.OK:
            return
        time.sleep(_PAUSE_BEFORE_TURN)
        answer = demo_calls.answer_text(response, streamed=streamed)
        messages += [
            {"role": "assistant", "content": answer},
            _user(_FOLLOW_UP),
        ]
        call = self._chat(team.key, messages, streamed=streamed)
        response = demo_calls.send(call)
        yield self._chat_row(
            f"it returns, {kind}", team, call, response, expects_hit=True
        )

    def _chat(
        self,
        key: str,
        messages: list[dict[str, str]],
        *,
        streamed: bool,
        model: str = "",
    ) -> demo_calls.Call:
        body: dict[str, Any] = {
            "model": model or self._model,
            "messages": messages,
            "stream": streamed,
            "max_tokens": _TOKENS,
        }
        return demo_calls.Call(
            port=self._next_daemon().callers_port,
            path="/v1/chat/completions",
            key=key,
            body=body,
        )

    def _chat_row(
        self,
        what: str,
        team: _deployment.Team,
        call: demo_calls.Call,
        response: demo_calls.Response,
        *,
        expects_hit: bool,
    ) -> Row:
        cached = response.header("Topazlug-Cached-Tokens")
        is_hit = cached not in ("", "0")
        as_expected = response.status == HTTPStatus.OK and response.whole
        return self._row(
            what,
            team,
            call,
            response,
            cache=f"hit, {cached} tokens" if is_hit else "miss",
            as_expected=as_expected and is_hit is expects_hit,
        )

    def _service_calls(
        self, service: _deployment.Service, team: _deployment.Team
    ) -> Iterator[Row]:
        key = str(uuid.uuid4())
        body = {"name": "Ana", "seats": 2}
        first = self._service_call(service, team, body, key=key)
        response = demo_calls.send(first)
        yield self._service_row(
            "service, POST", team, first, response, response
        )
        repeat = self._service_call(service, team, body, key=key)
        repeat_response = _repeat_until_stored(repeat)
        yield self._service_row(
            "same key again", team, repeat, repeat_response, response
        )
        yield self._rejected_row(
            "same key, other body",
            team,
            _errors.KeyReused,
            self._service_call(service, team, {"seats": 3}, key=key),
        )
        if service.key_required:
            yield self._rejected_row(
                "POST without a key",
                team,
                _errors.KeyRequired,
                self._service_call(service, team, body),
            )
        read = self._service_call(service, team, None)
        response = demo_calls.send(read)
        yield self._service_row("service, GET", team, read, response, response)

    def _service_call(
        self,
        service: _deployment.Service,
        team: _deployment.Team,
        body: dict[str, Any] | None,
        *,
        key: str = "",
    ) -> demo_calls.Call:
        return demo_calls.Call(
            port=self._next_daemon().callers_port,
            path=f"/v1/services/{service.name}/visitors",
            key=team.key,
            body=body,
            headers={"Idempotency-Key": key} if key else {},
        )

    def _service_row(
        self,
        what: str,
        team: _deployment.Team,
        call: demo_calls.Call,
        response: demo_calls.Response,
        earlier: demo_calls.Response,
    ) -> Row:
        """Return the row of a call that must return an earlier answer."""
        as_expected = response.status == HTTPStatus.OK
        if as_expected:
            as_expected = _run_id(response) == _run_id(earlier)
        replayed = response.header("Idempotency-Replayed") == "true"
        return self._row(
            what,
            team,
            call,
            response,
            cache="kept answer" if replayed else "",
            as_expected=as_expected and replayed is (response is not earlier),
        )

    def _rejected_row(
        self,
        what: str,
        team: _deployment.Team,
        expected: type[_errors.RequestError],
        call: demo_calls.Call,
    ) -> Row:
        response = demo_calls.send(call)
        not_run = response.header("Topazlug-Outcome") == "not-run"
        return self._row(
            what,
            team,
            call,
            response,
            as_expected=not_run and response.error_code == expected.code.value,
        )

    def _row(
        self,
        what: str,
        team: _deployment.Team,
        call: demo_calls.Call,
        response: demo_calls.Response,
        *,
        as_expected: bool,
        cache: str = "",
    ) -> Row:
        outcome = response.header("Topazlug-Outcome")
        return Row(
            what=what,
            team=team.name,
            daemon=self._daemon_name(call.port),
            replica=response.header("Topazlug-Replica"),
            cache=cache,
            first=response.first,
            total=response.total,
            outcome=f"{response.status} {response.error_code or outcome}",
            as_expected=as_expected,
        )

    def _daemon_name(self, port: int) -> str:
        by_port = {item.callers_port: item for item in self._fleet.daemons}
        return by_port[port].name


def _user(text: str) -> dict[str, str]:
    return {"role": "user", "content": text}


def _repeat_until_stored(call: demo_calls.Call) -> demo_calls.Response:
    """Repeat a call until its answer is stored, as a client does on a 409.

    The answer reaches the caller before the table service has stored it, so
    a repeat within a few milliseconds is rejected because its key is in use.
    """
    end = time.monotonic() + _MAX_REPEAT_SECONDS
    response = demo_calls.send(call)
    while response.error_code == _errors.Code.KEY_IN_USE.value:
        if time.monotonic() > end:
            break
        time.sleep(_REPEAT_PAUSE)
        response = demo_calls.send(call)
    return response


def _run_id(response: demo_calls.Response) -> tuple[Any, Any]:
    """Return the replica and the number of the run that gave the answer."""
    document = json.loads(response.text)
    return document["replica"], document["run"]
