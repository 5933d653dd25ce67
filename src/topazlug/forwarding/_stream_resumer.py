"""Sends the rest of a broken stream to another replica."""

from collections.abc import Callable
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.crashes import _crash_guard
from topazlug.forwarding import _call
from topazlug.forwarding import _exchange
from topazlug.forwarding import _stop_admission
from topazlug.limits import _retry_share
from topazlug.placement import _mechanisms
from topazlug.placement import _replica_view
from topazlug.routing import _placement
from topazlug.targets import _target_answer
from topazlug.targets import _target_client

_log = _logs.logger("forwarding")
# Replicas that a broken stream is sent to until one accepts it. Each that is
# unreachable without refusing the connection takes 0.25 s, and callers abandon
# a stream after a gap of two seconds.
_MAX_RESUME_REPLICAS = 4
_OK = 200
_SERVER_ERROR = 500

CountUsable = Callable[[_ids.GroupName, _ids.SoftwareVersion], int]


@final
class StreamResumer:
    """Resumes broken streams at other replicas.

    Parameters
    ----------
    admission : Admission
        Admits requests and releases their slots.
    exchange : Exchange
        Sends a request to one replica.
    budget : RetryShare
        Retry budget of this daemon.
    views : ReplicaViews
        Receives the outcomes of requests.
    guard : CrashGuard
        Rejects requests that crash replicas.
    stop_admission : StopAdmission
        Refuses requests that can't end before the daemon does.
    count_usable : callable
        Returns the number of usable replicas of a group and a version.
    clock : Clock
        Clock of the daemon.
    disabled : frozenset of Mechanism
        Mechanisms that are switched off.

    Attributes
    ----------
    is_disabled : bool
        Whether broken streams are not resumed.
    """

    def __init__(
        self,
        *,
        admission: _placement.Admission,
        exchange: _exchange.Exchange,
        budget: _retry_share.RetryShare,
        views: _replica_view.ReplicaViews,
        guard: _crash_guard.CrashGuard,
        stop_admission: _stop_admission.StopAdmission,
        count_usable: CountUsable,
        clock: _clock.Clock,
        disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED,
    ) -> None:
        self._guard = guard
        self._stop_admission = stop_admission
        self._count_usable = count_usable
        self.is_disabled = _mechanisms.Mechanism.RESUMPTION in disabled
        self._admission = admission
        self._exchange = exchange
        self._budget = budget
        self._views = views
        self._clock = clock

    def release(
        self, placement: _placement.Placement, *, failed: bool
    ) -> None:
        """Release the slot of a stream and record its outcome."""
        view = self._views.of_incarnation(placement.target)
        view.record_outcome(failed=failed)
        self._admission.release(placement)

    def resume(
        self,
        call: _call.ForwardedCall,
        broken: _placement.Placement,
        last_id: int | None,
        *,
        is_silent: bool = False,
    ) -> tuple[_placement.Placement, _target_answer.TargetAnswer] | None:
        """Send a request to another replica, to continue after an event.

        Parameters
        ----------
        call : ForwardedCall
            The request.
        broken : Placement
            Placement at which its stream broke.
        last_id : int or None
            Number of the last event that was relayed.
        is_silent : bool
            Whether the replica fell silent, and may still run the request.

        Returns
        -------
        tuple or None
            The new placement and answer; None if the stream could not be
            resumed.
        """
        if not self._guard.may_repeat(
            call.fingerprint, broken.target, call.part_fingerprints
        ):
            _log.info("stream not resumed: the request crashes replicas")
            return None
        elapsed = self._clock.monotonic() - call.started_at
        if not self._stop_admission.can_end(
            call.open_request, elapsed=elapsed
        ):
            _log.info("stream not resumed: the daemon stops before its end")
            return None
        if not self._budget.spend(call.group):
            _log.info("stream not resumed: retry budget exhausted")
            return None
        excluded = frozenset({broken.target.replica})
        if not is_silent and self._is_last(call, broken):
            excluded = frozenset()
        sent = self._send(call, last_id, excluded=excluded)
        if sent is None:
            return None
        placement, answer = sent
        if answer.status != _OK:
            placement.failed = answer.status >= _SERVER_ERROR
            answer.close()
            self._admission.release(placement)
            _log.info(
                "stream not resumed: replica answered {status}",
                status=answer.status,
            )
            return None
        _log.info(
            "stream resumed at {replica} after event {last}",
            replica=placement.target.replica,
            version=placement.target.version,
            version_before=broken.target.version,
            last=last_id,
        )
        return placement, answer

    def _is_last(
        self, call: _call.ForwardedCall, broken: _placement.Placement
    ) -> bool:
        """Return whether no other replica may continue a stream.

        The replica at which it broke may have broken only this stream.
        """
        version = broken.target.version
        return self._count_usable(call.group, version) <= 1

    def _send(
        self,
        call: _call.ForwardedCall,
        last_id: int | None,
        *,
        excluded: frozenset[_ids.ReplicaId],
    ) -> tuple[_placement.Placement, _target_answer.TargetAnswer] | None:
        """Send the request to the first replica that accepts it.

        Several replicas are often lost together, with their zone. If only
        one other replica were tried, the stream would end although the rest
        of the group could continue it.
        """
        for _ in range(_MAX_RESUME_REPLICAS):
            placement = None
            try:
                placement = self._admission.admit(
                    call.placement_request(excluded=excluded, is_resumed=True)
                )
                self._guard.check(
                    call.fingerprint,
                    call.part_fingerprints,
                    attempt=call.attempt,
                )
                answer = self._exchange.send(
                    call,
                    placement,
                    head_timeout=call.deadline - self._clock.monotonic(),
                    resume_after=last_id,
                )
                return placement, answer
            except (
                _errors.RequestError,
                _target_client.ConnectFailed,
            ) as error:
                if placement is not None:
                    self._admission.release(placement)
                _log.info("stream not resumed: {why}", why=str(error))
                if placement is None or not self._may_try_next(call, error):
                    return None
                excluded |= {placement.target.replica}
        return None

    def _may_try_next(
        self, call: _call.ForwardedCall, error: _errors.TopazlugError
    ) -> bool:
        """Return whether another replica may be tried after a failure.

        Only if the request did not run. A request that was rejected reached
        the replica, so the next one counts as another retry.
        """
        if self._clock.monotonic() >= call.deadline:
            return False
        if isinstance(error, _target_client.ConnectFailed):
            return True
        return isinstance(error, _errors.TargetRefused) and self._budget.spend(
            call.group
        )
