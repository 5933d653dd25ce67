"""Sends requests to other daemons while this one reaches no replica."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
from http import HTTPStatus
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_watch
from topazlug.delegation import _delegates
from topazlug.delegation import _delegation_wire
from topazlug.fleet import _fleet_directory
from topazlug.forwarding import _answer_fields
from topazlug.forwarding import _call
from topazlug.limits import _retry_share
from topazlug.targets import _replica_paths
from topazlug.targets import _target_answer
from topazlug.targets import _target_client
from topazlug.targets import _targets

_log = _logs.logger("delegation")
# Daemons that one request is sent to, until one serves it.
_MAX_DELEGATES = 8
# An answer up to this size is read completely before the caller receives any
# of it, so that a failure can still be answered or repeated.
_MAX_BUFFERED_BYTES = 1 << 20
# Part of the remaining time after which a repeatable request is sent to
# another daemon if the first one is silent.
_SILENCE_FRACTION = 0.5
# A daemon that has answered a request this recently is not frozen.
_RECENT_ANSWER_SECONDS = 1.0
# Minimum Retry-After while no daemon reaches a replica: a daemon that is cut
# off notices the end of its cut within about this time.
_MIN_RETRY_AFTER_SECONDS = 0.5
_GROUP = _ids.GroupName("daemons")
# Statuses that promise the caller that its request has not run.
_NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)

AnswerCallback = Callable[
    [_ids.ReplicaId, _target_answer.TargetAnswer], object
]


@final
class Delegator:
    """Has other daemons serve requests.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    daemons : callable
        Returns the rows of all known daemons.
    connections : TargetConnections
        Authenticated connections to other daemons.
    table_version : callable
        Returns the version of the routing table in force.
    budget : RetryShare
        Retry budget of this daemon.
    paths : ReplicaPaths
        Is notified of groups whose replicas answer other daemons.
    on_answer : callable
        Called with the replica that answered, and its answer.
    clock : Clock
        Clock of the daemon.

    Attributes
    ----------
    sent_count : int
        Number of requests that were sent to other daemons.
    refused_count : int
        Number of requests that no daemon could serve.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        daemons: Callable[
            [], Mapping[_ids.DaemonId, _fleet_directory.DaemonRow]
        ],
        connections: _target_client.TargetConnections,
        table_version: Callable[[], int],
        budget: _retry_share.RetryShare,
        paths: _replica_paths.ReplicaPaths,
        on_answer: AnswerCallback,
        clock: _clock.Clock,
    ) -> None:
        self._daemon = daemon
        self._daemons = daemons
        self._connections = connections
        self._table_version = table_version
        self._budget = budget
        self._paths = paths
        self._on_answer = on_answer
        self._clock = clock
        self._delegates_by_group: dict[
            _ids.GroupName, _delegates.Delegates
        ] = {}
        self.sent_count = 0
        self.refused_count = 0

    def serve(
        self, call: _call.ForwardedCall, progress: _call.Progress
    ) -> _caller_answer.CallerAnswer:
        """Answer one request with the answer of another daemon.

        A daemon that can't be reached, or declines, has not run the request,
        so the next one is tried.

        Parameters
        ----------
        call : ForwardedCall
            The request.
        progress : Progress
            What this daemon has done for it; updated.

        Raises
        ------
        RequestError
            No daemon served it.
        """
        rows = self._usable_rows()
        delegates = self._delegates_of(call.group)
        tried: list[_ids.DaemonId] = []
        while len(tried) < _MAX_DELEGATES:
            delegate = delegates.choose(rows, excluded=tried)
            if delegate is None or self._clock.monotonic() >= call.deadline:
                break
            tried.append(delegate)
            try:
                return self._serve_at(call, progress, delegate, rows[delegate])
            except (
                _target_client.ConnectFailed,
                _errors.TargetRefused,
            ) as error:
                delegates.record_failure(delegate)
                _log.info(
                    "{delegate} does not serve the request: {why}",
                    delegate=delegate,
                    why=error.message,
                )
            except _errors.RequestError as error:
                progress.outcome = _errors.Outcome.UNKNOWN
                progress.sent += _allowed_replicas(call, progress)
                if self._is_unresponsive(delegate, error):
                    delegates.record_failure(delegate)
                if not self._may_repeat(call, progress, error):
                    raise
        raise self._refusal(call, progress, tried, list(rows))

    def _delegates_of(self, group: _ids.GroupName) -> _delegates.Delegates:
        """Return the delegates for a group, as not all may reach it."""
        found = self._delegates_by_group.get(group)
        if found is None:
            found = _delegates.Delegates(clock=self._clock)
            self._delegates_by_group[group] = found
        return found

    def _usable_rows(
        self,
    ) -> dict[_ids.DaemonId, _fleet_directory.DaemonRow]:
        return {
            daemon: row
            for daemon, row in self._daemons().items()
            if row.delegation_port and daemon != self._daemon
        }

    def _is_unresponsive(
        self, delegate: _ids.DaemonId, error: _errors.RequestError
    ) -> bool:
        """Return whether a failure is that of the daemon itself.

        Most failures are those of its replica: it waits while the replica is
        silent, and ends its answer early if the replica's ends early. The
        only daemon that reaches replicas must not be left out for that.
        """
        return isinstance(error, _errors.TargetSilent) and not (
            self._connections.has_answered_within(
                _ids.ReplicaId(delegate), _RECENT_ANSWER_SECONDS
            )
        )

    def _may_repeat(
        self,
        call: _call.ForwardedCall,
        progress: _call.Progress,
        error: _errors.RequestError,
    ) -> bool:
        if not call.route.repeatable or progress.sent >= call.max_replicas:
            return False
        if isinstance(error, _errors.DeadlineExceeded):
            return False
        return self._budget.spend(call.group)

    def _refusal(
        self,
        call: _call.ForwardedCall,
        progress: _call.Progress,
        tried: list[_ids.DaemonId],
        daemons: list[_ids.DaemonId],
    ) -> _errors.RequestError:
        self.refused_count += 1
        delegates = self._delegates_of(call.group)
        wait = delegates.seconds_until_usable(daemons)
        error = _errors.NoTarget(
            f"no replica of {call.group} can be reached from this daemon, "
            f"nor from {len(tried)} others that were asked",
            outcome=progress.outcome,
            retry_after=max(_MIN_RETRY_AFTER_SECONDS, wait),
        )
        error.rejected_for = wait
        return error

    def _serve_at(
        self,
        call: _call.ForwardedCall,
        progress: _call.Progress,
        delegate: _ids.DaemonId,
        row: _fleet_directory.DaemonRow,
    ) -> _caller_answer.CallerAnswer:
        remaining = call.deadline - self._clock.monotonic()
        head_timeout = remaining
        replicas = _allowed_replicas(call, progress)
        if replicas < call.max_replicas - progress.sent:
            head_timeout *= _SILENCE_FRACTION
        delegates = self._delegates_of(call.group)
        with contextlib.ExitStack() as stack:
            delegates.begin(delegate)
            stack.callback(delegates.end, delegate)
            answer = self._connections.exchange(
                _target_of(delegate, row),
                self._request(call, progress, remaining, replicas),
                head_timeout=head_timeout,
                deadline=call.deadline,
            )
            stack.callback(answer.close)
            delegates.record_served(delegate)
            self.sent_count += 1
            _log.info(
                "served by daemon {delegate} with {status}",
                delegate=delegate,
                status=answer.status,
                replica=answer.header(_delegation_wire.REPLICA),
                outcome=progress.outcome,
            )
            self._handle_answer(call, answer, progress)
            return self._relay(call, answer, stack)
        raise AssertionError("the block neither returned nor raised")

    def _handle_answer(
        self,
        call: _call.ForwardedCall,
        answer: _target_answer.TargetAnswer,
        progress: _call.Progress,
    ) -> None:
        """Check the promise in an answer, and pass on its replica's state.

        A status that promises that the request did not run holds for the
        delegate only. This daemon may have sent the request before.
        """
        replica = answer.header(_delegation_wire.REPLICA)
        if replica:
            self._paths.record_served_elsewhere(call.group)
            self._on_answer(_ids.ReplicaId(replica), answer)
        if (
            answer.status in _NOT_RUN_STATUSES
            and progress.outcome is not _errors.Outcome.NOT_RUN
        ):
            raise _errors.TargetFailed(
                f"another daemon answered {answer.status}, and the request "
                "may have run before",
                outcome=_errors.Outcome.UNKNOWN,
            )

    def _request(
        self,
        call: _call.ForwardedCall,
        progress: _call.Progress,
        remaining: float,
        replicas: int,
    ) -> _target_client.TargetRequest:
        delegated = messages.DelegatedCall(
            remaining=remaining,
            replicas=replicas,
            table=self._table_version(),
            counted=progress.is_counted,
            is_pinned=call.version is not None,
            version=call.version or "",
        )
        return _target_client.TargetRequest(
            method=call.method,
            path=call.target,
            headers=_delegation_wire.request_fields(call.fields, delegated),
            body=call.body,
            request_id=call.head.attempt,
            fresh=not call.route.repeatable,
        )

    def _relay(
        self,
        call: _call.ForwardedCall,
        answer: _target_answer.TargetAnswer,
        stack: contextlib.ExitStack,
    ) -> _caller_answer.CallerAnswer:
        """Return the caller's answer; long ones are relayed as they arrive."""
        chunks = answer.chunks(
            receive_timeout=call.deadline - self._clock.monotonic(),
            deadline=call.deadline,
        )
        length = answer.header("Content-Length")
        is_short = length.isdigit() and int(length) <= _MAX_BUFFERED_BYTES
        headers = _delegation_wire.without_own_fields(
            _answer_fields.forwarded_fields(answer, keep_length=True)
        )
        if is_short:
            return _caller_answer.CallerAnswer(
                status=answer.status,
                headers=headers,
                body=iter([b"".join(chunks)]),
            )
        # Until the first part arrives, another daemon can be asked.
        first = next(chunks, b"")
        pieces = self._pieces(call, answer, first, chunks, stack.pop_all())
        return _caller_answer.CallerAnswer(
            status=answer.status,
            headers=headers,
            body=_caller_answer.prime(pieces),
        )

    def _pieces(
        self,
        call: _call.ForwardedCall,
        answer: _target_answer.TargetAnswer,
        first: bytes,
        chunks: Iterator[bytes],
        stack: contextlib.ExitStack,
    ) -> Iterator[bytes]:
        """Yield the body; the first piece is empty, as `prime` requires."""
        watch = _caller_watch.CallerWatch(
            call.socket, on_disconnect=answer.abort
        )
        with stack:
            stack.callback(watch.stop)
            yield b""
            yield first
            try:
                yield from chunks
            except _errors.RequestError as error:
                _log.warning(
                    "an answer of another daemon ends early: {why}",
                    request_id=call.head.attempt,
                    caller_left=answer.aborted,
                    why=error.message,
                )
                raise


def _allowed_replicas(
    call: _call.ForwardedCall, progress: _call.Progress
) -> int:
    """Return to how many replicas the next daemon may send a request.

    One is kept back for a request that may be repeated if that daemon is
    lost. If the daemon fails, it may have used all that it was allowed.
    """
    left = call.max_replicas - progress.sent
    return left - 1 if call.route.repeatable and left > 1 else left


def _target_of(
    daemon: _ids.DaemonId, row: _fleet_directory.DaemonRow
) -> _targets.Target:
    """Return a daemon as a target of requests."""
    return _targets.Target(
        replica=_ids.ReplicaId(daemon),
        kind=_targets.TargetKind.SERVICE,
        group=_GROUP,
        host=row.host,
        port=row.delegation_port,
        zone="",
        incarnation=0,
        slots=0,
        leaving=False,
    )
