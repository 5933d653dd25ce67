"""Logs on which crash records a daemon decides about a request."""

import collections
import enum
from typing import final

import msgspec

from topazlug import _ids
from topazlug import _logs

_log = _logs.logger("crashes")
# A read that is sent all the time may have run at a crash, so a line is
# written only if the basis of the decision has changed since the last line.
_MAX_REQUESTS = 256


class Decision(enum.Enum):
    """What a daemon does with a request that ran at a crash."""

    RUN = "run"
    HOLD = "hold"
    BLOCK = "block"


@final
class Basis(msgspec.Struct, frozen=True, kw_only=True):
    """The records on which a decision is based.

    Attributes
    ----------
    crashes : int
        Crashes that count against the request; replicas that ended together
        count as one.
    incarnations : int
        Incarnations that crashed while running the request.
    own : int
        Records of this daemon that are not in the table.
    received : int
        Records that other daemons sent and that are not in the table.
    shared : int
        Records in the table, as last read.
    """

    crashes: int
    incarnations: int
    own: int
    received: int
    shared: int


@final
class DecisionLog:
    """Writes a line for each decision whose basis is new."""

    def __init__(self) -> None:
        self._last_by_fingerprint: collections.OrderedDict[
            _ids.Fingerprint, tuple[Decision, Basis]
        ] = collections.OrderedDict()

    def add(
        self, fingerprint: _ids.Fingerprint, decision: Decision, basis: Basis
    ) -> None:
        """Log a decision, unless the last one had the same basis."""
        last = self._last_by_fingerprint
        if last.get(fingerprint) == (decision, basis):
            return
        last[fingerprint] = (decision, basis)
        last.move_to_end(fingerprint)
        if len(last) > _MAX_REQUESTS:
            last.popitem(last=False)
        _log.info(
            "{fingerprint} ran during {crashes} crashes: {decision}",
            fingerprint=fingerprint,
            decision=decision.value,
            **msgspec.structs.asdict(basis),
        )
