"""The administration listener: health, metrics and the operators' API."""

import hmac
from http import HTTPStatus
from typing import Any
from typing import Callable
from typing import Iterable
from typing import Sequence
from typing import final

import logbook

from topazlug import _errors
from topazlug._generated import table
from topazlug.administration import _administration_http
from topazlug.administration import _administration_rows
from topazlug.administration import _administration_status
from topazlug.administration import _administration_table
from topazlug.administration import _tokens
from topazlug.configuration import _configuration
from topazlug.configuration import _table_edits
from topazlug.configuration import _table_errors
from topazlug.store import _table_client

BOOTSTRAP_NAME = "bootstrap"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_RANK_BY_ROLE = {
    table.OperatorRole.read: 0,
    table.OperatorRole.edit: 1,
    table.OperatorRole.admin: 2,
}
_LOG = logbook.Logger("topazlug.administration")
_Answer = _administration_http.Answer
_Request = _administration_http.Request


@final
class OperatorTokens:
    """Knows the operators by their tokens.

    Parameters
    ----------
    holder : ConfigurationHolder
        The table, with the rows of operators.
    bootstrap_token_hash : str
        SHA-256 of a token that counts as an administrator's while the table
        has no operator; empty for none.
    """

    def __init__(
        self,
        *,
        holder: _configuration.ConfigurationHolder,
        bootstrap_token_hash: str,
    ) -> None:
        self._holder = holder
        self._bootstrap_token_hash = bootstrap_token_hash

    def identify(self, request: _Request) -> None:
        """Set who the operator is and what they may do.

        Raises
        ------
        BadToken
            Nobody holds the token.
        NotReady
            This daemon holds no table yet.
        """
        snapshot = _administration_rows.snapshot_of(self._holder)
        token_hash = _tokens.hash_of(request.token)
        for row in snapshot.operators_by_name.values():
            if hmac.compare_digest(row.token_hash, token_hash):
                request.who, request.role = row.name, row.role
                return
        # Left open beside named operators, the bootstrap token would be a
        # way in that no list of operators shows and nobody can revoke.
        if (
            self._bootstrap_token_hash
            and not snapshot.operators_by_name
            and hmac.compare_digest(self._bootstrap_token_hash, token_hash)
        ):
            request.who = BOOTSTRAP_NAME
            request.role = table.OperatorRole.admin
            return
        raise _table_errors.BadToken(
            "no operator has this token; send Authorization: Bearer <token>"
        )


@final
class Administration:
    """WSGI application of the administration listener.

    Parameters
    ----------
    holder : ConfigurationHolder
        The table in force.
    editor : TableEditor
        Makes the edits.
    publisher : Publisher
        Catches up with the store; the configuration follower.
    store : TableStore
        Read for the history.
    status : StatusSource
        Tells of the fleet at work.
    is_ready : callable
        Tells whether this daemon takes calls.
    exposition : callable
        Gives the metrics in the text format of Prometheus.
    bootstrap_token_hash : str
        See `OperatorTokens`.
    """

    def __init__(
        self,
        *,
        holder: _configuration.ConfigurationHolder,
        editor: _table_edits.TableEditor,
        publisher: _table_edits.Publisher,
        store: _table_client.TableStore,
        status: _administration_status.StatusSource,
        is_ready: Callable[[], bool],
        exposition: Callable[[], bytes],
        bootstrap_token_hash: str = "",
    ) -> None:
        self._tokens = OperatorTokens(
            holder=holder, bootstrap_token_hash=bootstrap_token_hash
        )
        self._is_ready = is_ready
        self._exposition = exposition
        rows = _administration_rows.RowsResource(
            holder=holder, editor=editor, publisher=publisher
        )
        whole = _administration_table.TableResource(
            holder=holder, editor=editor, publisher=publisher, store=store
        )
        at_work = _administration_status.StatusResource(
            source=status, holder=holder
        )
        # The first match answers, so named paths go before /v1/{table}.
        self._routes = [
            *self._open_routes(),
            *at_work.routes(),
            *whole.routes(),
            *rows.routes(),
        ]

    @property
    def routes(self) -> Sequence[_administration_http.Route]:
        """Return the paths served."""
        return tuple(self._routes)

    def add(self, routes: Sequence[_administration_http.Route]) -> None:
        """Serve further paths; they go before the ones there are."""
        self._routes = [*routes, *self._routes]

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        answer = self._answer(_Request(environ))
        return _administration_http.sent(answer, start_response)

    def _open_routes(self) -> list[_administration_http.Route]:
        made = _administration_http.Route
        return [
            made(
                method="GET",
                path="/health/live",
                handler=self._live,
                role=None,
            ),
            made(
                method="GET",
                path="/health/ready",
                handler=self._ready,
                role=None,
            ),
            made(
                method="GET", path="/metrics", handler=self._metrics, role=None
            ),
        ]

    def _answer(self, request: _Request) -> _Answer:
        try:
            route = self._route(request)
            if route.role is not None:
                self._tokens.identify(request)
                _check_role(request, route.role)
            return route.handler(request)
        except _errors.TopazlugError as error:
            return _administration_http.error_answer(error)
        except Exception:
            # A fault of ours must not show its insides to whoever asked;
            # the log has the trace and the answer the stable code.
            _LOG.exception("{} failed", "/".join(request.segments))
            return _administration_http.error_answer(
                _errors.TopazlugError("internal error; see the daemon's log")
            )

    def _route(self, request: _Request) -> _administration_http.Route:
        matching = [r for r in self._routes if r.matches(request.segments)]
        for route in matching:
            if route.method == request.method:
                return route
        path = "/" + "/".join(request.segments)
        if matching:
            raise _errors.BadMethod(f"{path} knows no {request.method}")
        raise _errors.UnknownPath(f"no path {path}")

    def _live(self, request: _Request) -> _Answer:
        return _Answer(body={"live": True})

    def _ready(self, request: _Request) -> _Answer:
        ready = self._is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return _Answer(body={"ready": ready}, status=status)

    def _metrics(self, request: _Request) -> _Answer:
        return _Answer(body=self._exposition(), content_type=METRICS_TYPE)


def _check_role(request: _Request, least: table.OperatorRole) -> None:
    role = request.role
    if role is None or _RANK_BY_ROLE[role] < _RANK_BY_ROLE[least]:
        raise _errors.Forbidden(
            f"this needs the role {least.value}; {request.who} has"
            f" {role.value if role else 'none'}"
        )
