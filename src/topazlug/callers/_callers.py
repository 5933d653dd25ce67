"""The WSGI application of the callers' listener."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Protocol
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _logs
from topazlug._generated import settings as _settings_types
from topazlug._generated import table
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_request
from topazlug.callers import _caller_watch
from topazlug.callers import _wsgi
from topazlug.calls import _service_calls
from topazlug.configuration import _configuration
from topazlug.telemetry import _guard_refusals
from topazlug.telemetry import _metrics

_log = _logs.logger("callers")
_CHAT_PATH = "/v1/chat/completions"
_MODELS_PATH = "/v1/models"


class CallHandler(Protocol):
    """Serves one kind of request."""

    def serve(
        self,
        request: _caller_request.CallerRequest,
        caller: _caller_request.Caller,
        snapshot: _configuration.TableSnapshot,
    ) -> _caller_answer.CallerAnswer:
        """Answer one request; raises RequestError."""


class _Model(msgspec.Struct):
    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "topazlug"


class _Models(msgspec.Struct):
    data: list[_Model]
    object: str = "list"


@final
class CallersApp:
    """The WSGI application of the callers' listener.

    Parameters
    ----------
    chats, services : CallHandler
        Handlers of chat requests and of service requests.
    configuration : ConfigurationHolder
        Holds the configuration in force.
    limits : LimitSettings
        Bounds on requests.
    metrics : Metrics
        Metrics of the daemon.
    clock : Clock
        Clock of the daemon.
    """

    def __init__(
        self,
        *,
        chats: CallHandler,
        services: CallHandler,
        configuration: _configuration.ConfigurationHolder,
        limits: _settings_types.LimitSettings,
        metrics: _metrics.Metrics,
        clock: _clock.Clock,
    ) -> None:
        self._chats = chats
        self._services = services
        self._configuration = configuration
        self._limits = limits
        self._metrics = metrics
        self._clock = clock
        self._guard_refusals = _guard_refusals.GuardRefusals(
            metrics=metrics, clock=clock
        )
        self.in_progress = 0

    def __call__(
        self, environ: Mapping[str, Any], start_response: _wsgi.StartResponse
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        request = _caller_request.CallerRequest(
            environ=environ, limits=self._limits, clock=self._clock
        )
        self.in_progress += 1
        return _wsgi.respond(
            lambda: self._answer(request),
            start_response,
            is_head=request.method == "HEAD",
            on_end=self._on_answer_end,
        )

    def _on_answer_end(self) -> None:
        self.in_progress -= 1

    def _answer(
        self, request: _caller_request.CallerRequest
    ) -> _caller_answer.CallerAnswer:
        with _logs.request_fields(request_id=request.request_id):
            try:
                return self._serve(request)
            except _caller_watch.CallerLeft as error:
                _log.info("caller disconnected before its answer began")
                return _caller_answer.error_answer(error, request.request_id)
            except _errors.TopazlugError as error:
                _log.info(
                    "rejected with {code}: {why}",
                    code=error.code.value,
                    why=error.message,
                )
                return _caller_answer.error_answer(error, request.request_id)
            except Exception:
                _log.exception("internal error while handling a request")
                fault = _errors.TopazlugError("internal error")
                return _caller_answer.error_answer(fault, request.request_id)

    def _serve(
        self, request: _caller_request.CallerRequest
    ) -> _caller_answer.CallerAnswer:
        snapshot = self._configuration.current
        if snapshot is None:
            raise _errors.NotReady(
                "this daemon has no configuration yet", retry_after=1.0
            )
        try:
            caller = request.identify(snapshot)
        except _errors.BadKey as error:
            self._metrics.count_request(
                _metrics.NO_TEAM,
                table.RequestClass.interactive,
                error.code,
                error.outcome,
            )
            raise
        with _logs.request_fields(team=caller.name):
            try:
                return self._dispatch(request, caller, snapshot)
            except _errors.RequestError as error:
                self._count_failure(caller, error)
                raise

    def _dispatch(
        self,
        request: _caller_request.CallerRequest,
        caller: _caller_request.Caller,
        snapshot: _configuration.TableSnapshot,
    ) -> _caller_answer.CallerAnswer:
        if request.path == _CHAT_PATH:
            _require_method(request, "POST")
            return self._chats.serve(request, caller, snapshot)
        if request.path == _MODELS_PATH:
            _require_method(request, "GET")
            return _models(request, caller, snapshot)
        if request.raw_path.startswith(_service_calls.PREFIX):
            return self._services.serve(request, caller, snapshot)
        raise _errors.UnknownPath(f"no path {request.path!r}")

    def _count_failure(
        self,
        caller: _caller_request.Caller,
        error: _errors.RequestError,
    ) -> None:
        request_class = table.RequestClass(caller.class_name)
        self._guard_refusals.record(error)
        self._metrics.count_request(
            caller.name, request_class, error.code, error.outcome
        )
        if error.outcome is _errors.Outcome.NOT_RUN:
            self._metrics.count_rejection(
                caller.name, request_class, error.code
            )


def _require_method(
    request: _caller_request.CallerRequest, method: str
) -> None:
    if request.method != method:
        raise _errors.BadMethod(
            f"{request.path} accepts {method}, not {request.method}"
        )


def _models(
    request: _caller_request.CallerRequest,
    caller: _caller_request.Caller,
    snapshot: _configuration.TableSnapshot,
) -> _caller_answer.CallerAnswer:
    allowed = caller.team.pools
    names = sorted(
        row.model
        for row in snapshot.pools_by_name.values()
        if not allowed or row.name in allowed
    )
    document = _Models(data=[_Model(id=name) for name in names])
    return _caller_answer.json_answer(document, request.request_id)
