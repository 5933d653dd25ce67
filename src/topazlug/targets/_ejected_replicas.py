"""Replicas that their owners have ejected, as this daemon was notified."""

from collections.abc import Iterable
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug.targets import _target

_log = _logs.logger("replicas")


@final
class EjectedReplicas:
    """Ends of ejections, by replica process.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._until: dict[_target.ReplicaProcess, float] = {}

    def record(self, target: _target.Target, seconds: float) -> None:
        """Record that a replica gets no requests for some time."""
        now = self._clock.monotonic()
        self._until = {
            process: until
            for process, until in self._until.items()
            if until > now
        }
        process = _target.process_of(target)
        if process not in self._until:
            _log.info(
                "{replica} is ejected by its owner: {seconds:.1f} s remaining",
                replica=target.replica,
                seconds=seconds,
            )
        self._until[process] = now + seconds

    def is_ejected(self, target: _target.Target) -> bool:
        """Return whether a replica is ejected."""
        until = self._until.get(_target.process_of(target), 0.0)
        return self._clock.monotonic() < until

    def without_ejected(
        self, targets: Iterable[_target.Target]
    ) -> list[_ids.ReplicaId]:
        """Return the replicas not ejected, or all if no other is left.

        An ejection must not make a request fail that could be sent to the
        ejected replica.
        """
        found = list(targets)
        usable = [
            target.replica for target in found if not self.is_ejected(target)
        ]
        return usable or [target.replica for target in found]
