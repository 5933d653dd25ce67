"""Bounds on the age of a daemon's tables, and the waits that follow from them.

Load pattern: all daemons must apply a change within a few seconds, even while
the store rejects calls of some of them. A call that waits for changes and is
never answered looks like one without changes. The bound therefore determines
how long calls wait, and for how long a copy of a table is valid after the
store's last answer.
"""

from typing import final

import msgspec

from topazlug.fleet import _table_source

# Time reserved after a connection loss for the call that follows an unanswered
# one, for a slow store and for the request itself.
_DIRECT_MARGIN_SECONDS = 0.8
# Fraction of the bound that a call of a reader may wait: the daemons that use
# this reader receive nothing while the call is unanswered.
_READER_WAIT_FRACTION = 3 / 8
_MIN_WAIT_SECONDS = 0.5
# Fraction of the bound for which an answer of the store is valid. It covers
# the wait, the pauses between calls on the way and a slow store. The rest of
# the bound is for finding another source.
_VALIDITY_FRACTION = 5 / 8


@final
class StalenessBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on the age of tables.

    Attributes
    ----------
    propagation : float
        Seconds within which each daemon must apply a change.
    recovery : float
        Seconds after the end of a connection loss during which `propagation`
        does not apply yet.
    """

    propagation: float
    recovery: float

    @property
    def direct_wait(self) -> float:
        """Return the maximum wait of a call that serves one daemon only.

        A call made while the store is not responding is never answered. It
        must time out, and the next call be answered, before all accepted
        changes must be in force again.
        """
        wait = self.recovery - _table_source.ANSWER_SLACK_SECONDS
        return max(_MIN_WAIT_SECONDS, wait - _DIRECT_MARGIN_SECONDS)

    @property
    def reader_wait(self) -> float:
        """Return the maximum wait of a call that serves other daemons too."""
        return max(_MIN_WAIT_SECONDS, self.propagation * _READER_WAIT_FRACTION)

    @property
    def validity(self) -> float:
        """Return for how long the last answer of the store is valid."""
        return max(
            2 * _MIN_WAIT_SECONDS, self.propagation * _VALIDITY_FRACTION
        )
