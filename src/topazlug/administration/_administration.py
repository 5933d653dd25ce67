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
class OperatorAuthenticator:
    """Authenticates operators by their tokens.

    Parameters
    ----------
    holder : ConfigurationHolder
        The table in force, with the rows of operators.
    bootstrap_token_hash : str
        SHA-256 of a token that has the role admin while the table has no
        operator; empty if there is no such token.
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
        """Set the operator's name and role on a request.

        Raises
        ------
        BadToken
            No operator has the token.
        NotReady
            This daemon has no table yet.
        """
        snapshot = _administration_rows.current_snapshot(self._holder)
        token_hash = _tokens.hash_of(request.token)
        for row in snapshot.operators_by_name.values():
            if hmac.compare_digest(row.token_hash, token_hash):
                request.who, request.role = row.name, row.role
                return
        # The bootstrap token is accepted only while there are no operators:
        # it appears in no list of operators and can't be revoked.
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
        Writes edits to the store.
    publisher : Publisher
        Reads newer changes from the store; the configuration follower.
    store : TableStore
        Holds the history.
    status : StatusSource
        Reports the state of the fleet.
    is_ready : callable
        Returns whether this daemon accepts calls.
    exposition : callable
        Returns the metrics in the Prometheus text format.
    bootstrap_token_hash : str
        See `OperatorAuthenticator`.
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
        self._authenticator = OperatorAuthenticator(
            holder=holder, bootstrap_token_hash=bootstrap_token_hash
        )
        self._is_ready = is_ready
        self._exposition = exposition
        rows_resource = _administration_rows.RowsResource(
            holder=holder, editor=editor, publisher=publisher
        )
        table_resource = _administration_table.TableResource(
            holder=holder, editor=editor, publisher=publisher, store=store
        )
        status_resource = _administration_status.StatusResource(
            source=status, holder=holder
        )
        # The first matching route is used, so fixed paths must precede
        # /v1/{table}.
        self._routes = [
            *self._public_routes(),
            *status_resource.routes(),
            *table_resource.routes(),
            *rows_resource.routes(),
        ]

    @property
    def routes(self) -> Sequence[_administration_http.Route]:
        """Return the routes in the order in which they are matched."""
        return tuple(self._routes)

    def add(self, routes: Sequence[_administration_http.Route]) -> None:
        """Add routes before the existing ones."""
        self._routes = [*routes, *self._routes]

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        answer = self._answer(_Request(environ))
        return _administration_http.start_answer(answer, start_response)

    def _public_routes(self) -> list[_administration_http.Route]:
        route = _administration_http.Route
        return [
            route(
                method="GET",
                path="/health/live",
                handler=self._handle_live,
                role=None,
            ),
            route(
                method="GET",
                path="/health/ready",
                handler=self._handle_ready,
                role=None,
            ),
            route(
                method="GET",
                path="/metrics",
                handler=self._handle_metrics,
                role=None,
            ),
        ]

    def _answer(self, request: _Request) -> _Answer:
        try:
            route = self._find_route(request)
            if route.role is not None:
                self._authenticator.identify(request)
                _check_role(request, route.role)
            return route.handler(request)
        except _errors.TopazlugError as error:
            return _administration_http.error_answer(error)
        except Exception:
            # An internal error must not expose details to the client. The
            # log has the traceback, and the answer a stable code.
            _LOG.exception("request for {} failed", "/".join(request.segments))
            return _administration_http.error_answer(
                _errors.TopazlugError("internal error; see the daemon's log")
            )

    def _find_route(self, request: _Request) -> _administration_http.Route:
        matching = [r for r in self._routes if r.matches(request.segments)]
        for route in matching:
            if route.method == request.method:
                return route
        path = "/" + "/".join(request.segments)
        if matching:
            raise _errors.BadMethod(
                f"{path} does not support the method {request.method}"
            )
        raise _errors.UnknownPath(f"unknown path {path}")

    def _handle_live(self, request: _Request) -> _Answer:
        return _Answer(body={"live": True})

    def _handle_ready(self, request: _Request) -> _Answer:
        ready = self._is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return _Answer(body={"ready": ready}, status=status)

    def _handle_metrics(self, request: _Request) -> _Answer:
        return _Answer(body=self._exposition(), content_type=METRICS_TYPE)


def _check_role(request: _Request, required: table.OperatorRole) -> None:
    role = request.role
    if role is None or _RANK_BY_ROLE[role] < _RANK_BY_ROLE[required]:
        raise _errors.Forbidden(
            f"the role {required.value} is required; {request.who} has"
            f" {role.value if role else 'none'}"
        )
