"""Which guard refuses requests, since when, how many and on what evidence.

A guard turns work away to protect something. When it is wrong, requests are
refused although replicas are free, and what each refusal says of itself is
spread over many lines. An episode is a period in which one guard refuses
requests for one reason without a longer break.
"""

import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _logs
from topazlug.telemetry import _metrics

_log = _logs.logger("guards")
# An episode ends when nothing was refused for this long.
_BREAK_SECONDS = 5.0
# Minimum time between two lines of one episode.
_LOG_SECONDS = 1.0
# Bounds the episodes that are followed at one time.
_MAX_EPISODES = 256


class _Episode(msgspec.Struct):
    since: float
    last_at: float
    logged_at: float = -math.inf
    count: int = 0


@final
class GuardRefusals:
    """Counts and logs what guards refuse.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, *, metrics: _metrics.Metrics, clock: _clock.Clock
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._episode_by_key: dict[tuple[_errors.Guard, str], _Episode] = {}
        metrics.watch_guards(self.refusing_seconds)

    def record(self, error: _errors.RequestError) -> None:
        """Record a refused request; other errors are ignored."""
        guard = error.guard
        if guard is None or error.outcome is not _errors.Outcome.NOT_RUN:
            return
        self._metrics.count_guard_refusal(guard)
        now = self._clock.monotonic()
        episode = self._episode(guard, error.subject, now)
        if episode is None:
            return
        episode.count += 1
        episode.last_at = now
        if now - episode.logged_at < _LOG_SECONDS:
            return
        episode.logged_at = now
        _log.warning(
            "guard {guard} refuses {subject}: {count} requests in "
            "{seconds:.1f} s, {evidence}",
            guard=guard.value,
            subject=error.subject,
            count=episode.count,
            seconds=now - episode.since,
            evidence=error.message,
        )

    def _episode(
        self, guard: _errors.Guard, subject: str, now: float
    ) -> _Episode | None:
        """Return the current episode, None if there are too many."""
        key = (guard, subject)
        episode = self._episode_by_key.get(key)
        if episode is not None and now - episode.last_at < _BREAK_SECONDS:
            return episode
        if episode is None and len(self._episode_by_key) >= _MAX_EPISODES:
            self._remove_ended(now)
            if len(self._episode_by_key) >= _MAX_EPISODES:
                return None
        episode = _Episode(since=now, last_at=now)
        self._episode_by_key[key] = episode
        return episode

    def _remove_ended(self, now: float) -> None:
        self._episode_by_key = {
            key: episode
            for key, episode in self._episode_by_key.items()
            if now - episode.last_at < _BREAK_SECONDS
        }

    def refusing_seconds(self) -> dict[str, float]:
        """Return for how long each guard has refused requests, 0 if not."""
        now = self._clock.monotonic()
        self._remove_ended(now)
        seconds = {guard.value: 0.0 for guard in _errors.Guard}
        for (guard, _), episode in self._episode_by_key.items():
            name = guard.value
            seconds[name] = max(seconds[name], now - episode.since)
        return seconds
