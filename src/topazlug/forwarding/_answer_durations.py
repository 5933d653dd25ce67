"""How long answers take, learned from the latest complete ones."""

import collections
from collections.abc import Sequence
from typing import NamedTuple
from typing import final

from topazlug import _ids

_LATEST = 32
# A configuration may have many routes; those used longest ago are forgotten.
_MAX_KEYS = 512
# Answers take longer while other daemons stop too, as replicas are then asked
# by fewer daemons that know less of each other's load.
_SAFETY_FACTOR = 1.2
# Answers with at least this part of the tokens of another are similar to it.
_MIN_SIMILAR_PART = 0.5


class AnswerKind(NamedTuple):
    """What the duration of an answer depends on.

    Attributes
    ----------
    route : str
        Name of the request's route.
    group : GroupName
        Service that runs it.
    tokens : int
        Tokens that it may generate, 0 if unknown.
    """

    route: str
    group: _ids.GroupName
    tokens: int


class _Duration(NamedTuple):
    """One answer: seconds until it began and after that, and its tokens."""

    until_begin: float
    generation: float
    tokens: int


_Key = tuple[str, str]


@final
class AnswerDurations:
    """Expects how long the answer to a request will take.

    The longest of the latest answers of its route counts, scaled to the
    number of tokens that it may generate. Without one, those of all routes
    of its group count.
    """

    def __init__(self) -> None:
        self._latest_by_key: collections.OrderedDict[
            _Key, collections.deque[_Duration]
        ] = collections.OrderedDict()

    def record(
        self, kind: AnswerKind, *, until_begin: float, whole: float
    ) -> None:
        """Record a complete answer.

        Parameters
        ----------
        kind : AnswerKind
            What it answered.
        until_begin : float
            Seconds from the receipt of its request until it began.
        whole : float
            Seconds from the receipt of its request until it ended.
        """
        duration = _Duration(
            until_begin, whole - until_begin, max(1, kind.tokens)
        )
        for key in _keys_of(kind):
            self._latest_of(key).append(duration)

    def _latest_of(self, key: _Key) -> collections.deque[_Duration]:
        latest = self._latest_by_key.get(key)
        if latest is None:
            latest = collections.deque(maxlen=_LATEST)
            self._latest_by_key[key] = latest
            if len(self._latest_by_key) > _MAX_KEYS:
                self._latest_by_key.popitem(last=False)
        else:
            self._latest_by_key.move_to_end(key)
        return latest

    def expected(self, kind: AnswerKind) -> float | None:
        """Return the seconds that an answer may take, None if unknown."""
        for key in _keys_of(kind):
            latest = self._latest_by_key.get(key)
            if latest:
                tokens = max(1, kind.tokens)
                until_begin = max(one.until_begin for one in latest)
                generation = tokens * _seconds_per_token(latest, tokens)
                return (until_begin + generation) * _SAFETY_FACTOR
        return None


def _keys_of(kind: AnswerKind) -> tuple[_Key, _Key]:
    return ("route", kind.route), ("group", kind.group)


def _seconds_per_token(latest: Sequence[_Duration], tokens: int) -> float:
    """Return the longest time per token, for an answer of this many.

    Answers with far fewer tokens have longer times per token, so they count
    only if there are no others.
    """
    similar = [
        one.generation / one.tokens
        for one in latest
        if one.tokens >= _MIN_SIMILAR_PART * tokens
    ]
    if similar:
        return max(similar)
    generation = sum(one.generation for one in latest)
    return generation / sum(one.tokens for one in latest)
