"""How old a daemon's tables may get, and what follows for its calls.

Load pattern: a change must be followed by all daemons within some seconds,
whatever part of them the store turns away meanwhile. A call that waits for
news and is never answered looks like one that has none. So how long calls
wait, and for how long the word of a daemon counts that has not heard of the
store, follow from that bound.
"""

from typing import final

import msgspec

from topazlug.fleet import _table_source

# What is left of the time after a cut for the call that follows one without
# an answer, for a store that is slow, and for the request itself.
_OWN_MARGIN_SECONDS = 0.8
# A call of a daemon that reads for others may wait for this part of the bound:
# those that go by it hear nothing while it is not answered.
_READER_PART = 3 / 8
_LEAST_WAIT_SECONDS = 0.5
# A word of the store counts for this part of the bound. Besides the wait that
# has room for pauses between calls on its way, and for a store that is slow;
# what is left of the bound is for the search for another way.
_VOUCHED_PART = 5 / 8


@final
class StalenessBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on the age of tables.

    Attributes
    ----------
    in_force : float
        Seconds within which each daemon must follow a change.
    unreachable : float
        Seconds after a cut for which that does not hold.
    """

    in_force: float
    unreachable: float

    @property
    def direct_wait(self) -> float:
        """Give the longest wait of a call that serves one daemon alone.

        One that is made while the store says nothing is never answered. It
        must have ended, and the next one been answered, before all that was
        accepted must be in force again.
        """
        wait = self.unreachable - _table_source.ANSWER_SLACK_SECONDS
        return max(_LEAST_WAIT_SECONDS, wait - _OWN_MARGIN_SECONDS)

    @property
    def reader_wait(self) -> float:
        """Give the longest wait of a call that serves other daemons too."""
        return max(_LEAST_WAIT_SECONDS, self.in_force * _READER_PART)

    @property
    def validity(self) -> float:
        """Give for how long the store's last word counts."""
        return max(2 * _LEAST_WAIT_SECONDS, self.in_force * _VOUCHED_PART)
