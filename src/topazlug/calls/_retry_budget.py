"""A budget for retries, so that failures never multiply load.

Each first attempt earns a part of a retry; each retry spends a whole one.
When a pool fails altogether, retries add at most that part to its load.
"""

from typing import final

from topazlug import _ids

_FLOOR = 3.0
_CEILING = 100.0


@final
class RetryBudget:
    """Retries that one daemon may still make.

    Parameters
    ----------
    ratio : float
        Retries earned by each first attempt.
    """

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._balance = _FLOOR
        self.spent = 0
        self.refused = 0

    def earn(self, group: _ids.GroupName) -> None:
        """Note a first attempt; this budget is one for all groups."""
        self._balance = min(_CEILING, self._balance + self._ratio)

    def spend(self, group: _ids.GroupName) -> bool:
        """Take one retry out of the budget.

        Returns
        -------
        bool
            Whether there was one.
        """
        if self._balance < 1.0:
            self.refused += 1
            return False
        self._balance -= 1.0
        self.spent += 1
        return True
