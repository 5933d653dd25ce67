"""How slow a replica is at this moment, and how slow it usually is.

Load pattern: replicas share their instances with other work. Some are slower
than others permanently, instances become slow for seconds, and each replica
has slow moments of a few tenths of a second. A replica reports its slowness
2 to 10 times per second, at irregular intervals.
"""

import collections
import math
from typing import final

import msgspec

_NOT_SLOW = 1.0
# The highest expected figure is 8.1: 1.3 usually, times 2.5 on a slow
# instance, times 2.5 in a slow moment. Figures outside of this range are
# faults of the replica.
_MIN_PLAUSIBLE = 0.2
_MAX_PLAUSIBLE = 20.0
# A figure describes the present moment for this long: two figures of one
# replica correlate by .5 at this distance, by .2 at twice the distance, and
# not at all at some seconds.
_CURRENT_SECONDS = 0.4
_CURRENT_FADE_SECONDS = 0.6
# Half of the window must be slow before the sustained slowness rises, which is
# longer than most slow moments. In a replay of the pattern with 4 figures a
# second, a slow instance was detected after .98 s (median) with a window of
# 1.1 s and after .86 s with 1.0 s; slow moments passed for one 3 and 4% of the
# time.
_WINDOW_SECONDS = 1.0
# A figure counts for the time since the one before it, and at most for this
# long, so that a single figure after a gap does not fill the window.
_MAX_FIGURE_SECONDS = 0.45
# Figures this close together are stored as one, which bounds their number.
# They are the same: two of them correlate by 1.0.
_MERGE_SECONDS = 0.03
# While figures cover less than this time, older ones are used too, and beyond
# the longest window the previous estimate counts for the rest of it.
_MIN_COVERED_SECONDS = 0.8
_MAX_WINDOW_SECONDS = 3.0
# Time constant of the fall. New work returns in steps; if it returned at once,
# a short recovery would move it twice.
_FALL_SECONDS = 0.5
# A replica that got no work reports nothing, so its last estimate is kept for
# this long and then returns to the usual slowness. If it returned at once, a
# slow replica that had lost its work would get it back every second.
_KEEP_SECONDS = 2.0
_FADE_SECONDS = 2.0
_FORGET_SECONDS = 10.0
# The usual slowness is the lowest sustained one of this time and up to twice
# as long, which is longer than an instance is slow (6 s).
_USUAL_SECONDS = 10.0


class _Figure(msgspec.Struct, frozen=True, gc=False):
    """A reported slowness, and the seconds that it counts for."""

    slowness: float
    at: float
    seconds: float


@final
class ReplicaSpeed:
    """Slowness of one replica, from the figures that it reports.

    A slowness of 1.0 means that work takes as long as usual.

    Attributes
    ----------
    is_reported : bool
        Whether the replica has reported its slowness.
    """

    def __init__(self) -> None:
        self.is_reported = False
        self._last = _NOT_SLOW
        self._last_at = -math.inf
        self._sustained = _NOT_SLOW
        self._figures: collections.deque[_Figure] = collections.deque()
        self._lowest: float | None = None
        self._lowest_before: float | None = None
        self._lowest_since = -math.inf

    def record(self, slowness: float, *, now: float) -> None:
        """Record a figure that the replica has just reported.

        Implausible figures are ignored.
        """
        # This is false for NaN, too.
        if not _MIN_PLAUSIBLE <= slowness <= _MAX_PLAUSIBLE:
            return
        if now - self._last_at > _FORGET_SECONDS:
            self._lowest = self._lowest_before = None
            self._lowest_since = now
        before = self.sustained(now=now)
        seconds = min(_MAX_FIGURE_SECONDS, max(0.0, now - self._last_at))
        self.is_reported = True
        self._last = slowness
        self._last_at = now
        self._add_figure(slowness, now, seconds)
        self._remove_old_figures(now)
        self._update_sustained(before, seconds)
        self._update_usual(now)

    def _add_figure(self, slowness: float, now: float, seconds: float) -> None:
        at = now
        if self._figures and now - self._figures[-1].at < _MERGE_SECONDS:
            last = self._figures.pop()
            at = last.at
            seconds += last.seconds
        self._figures.append(_Figure(slowness, at, seconds))

    def _remove_old_figures(self, now: float) -> None:
        covered = self._covered_seconds()
        while self._figures[0].at <= now - _WINDOW_SECONDS:
            oldest = self._figures[0]
            is_needed = covered - oldest.seconds < _MIN_COVERED_SECONDS
            if is_needed and oldest.at > now - _MAX_WINDOW_SECONDS:
                return
            self._figures.popleft()
            covered -= oldest.seconds

    def _covered_seconds(self) -> float:
        return sum(figure.seconds for figure in self._figures)

    def _update_sustained(self, before: float, seconds: float) -> None:
        """Update the mean of the lower half of the window.

        The lower half leaves out slow moments as long as they are less than
        half of the window; then the mean rises in proportion.
        """
        covered = self._covered_seconds()
        missing = max(0.0, _MIN_COVERED_SECONDS - covered)
        weighted = [(before, missing)]
        weighted += [
            (figure.slowness, figure.seconds) for figure in self._figures
        ]
        weighted.sort()
        half = (covered + missing) / 2
        remaining = half
        total = 0.0
        for slowness, weight in weighted:
            part = min(weight, remaining)
            total += slowness * part
            remaining -= part
        target = total / half
        if target < before:
            kept = math.exp(-seconds / _FALL_SECONDS)
            target += (before - target) * kept
        self._sustained = target

    def _update_usual(self, now: float) -> None:
        covered = self._covered_seconds()
        if covered < _MIN_COVERED_SECONDS:
            return
        if self._lowest is None:
            self._lowest = self._sustained
        elif now - self._lowest_since > _USUAL_SECONDS:
            self._lowest_before = self._lowest
            self._lowest = self._sustained
            self._lowest_since = now
        self._lowest = min(self._lowest, self._sustained)

    def current(self, *, now: float) -> float:
        """Return the slowness to assume for work that starts now."""
        age = now - self._last_at
        sustained = self.sustained(now=now)
        weight = _fade(age - _CURRENT_SECONDS, _CURRENT_FADE_SECONDS)
        return sustained + weight * (self._last - sustained)

    def sustained(self, *, now: float) -> float:
        """Return the slowness over about a second."""
        age = now - self._last_at
        usual = self.usual(now=now)
        weight = _fade(age - _KEEP_SECONDS, _FADE_SECONDS)
        return usual + weight * (self._sustained - usual)

    def usual(self, *, now: float) -> float:
        """Return the slowness without the times when the instance is slow."""
        if now - self._last_at > _FORGET_SECONDS or self._lowest is None:
            return _NOT_SLOW
        if self._lowest_before is None:
            return self._lowest
        return min(self._lowest, self._lowest_before)


def _fade(seconds: float, duration: float) -> float:
    """Return a weight that falls from 1 to 0 within a duration."""
    return min(1.0, max(0.0, 1.0 - seconds / duration))
