"""How up to date a daemon's copy of a table is."""

import math
from typing import NamedTuple
from typing import final


@final
class CopyState(NamedTuple):
    """How up to date a daemon's copy of a table is.

    Attributes
    ----------
    age : float
        Seconds since the store's last answer, infinite before any.
    followed_since : float
        Monotonic time of the first answer since which the table has been
        followed without a gap. Rows that were written and removed within a
        gap have never been in the copy.
    """

    age: float = 0.0
    followed_since: float = -math.inf
