"""A mapping that is never changed, of which a changed copy is cheap.

A plain dict of 26,000 API keys takes over a millisecond to copy, because
each entry's reference count is touched. Here a copy shares all shards but
the few that were written to.
"""

from typing import Generic
from typing import Iterator
from typing import Mapping
from typing import TypeVar
from typing import final

SHARDS = 256
_Value = TypeVar("_Value")


@final
class ShardedMap(Mapping[str, _Value]):
    """An immutable mapping by string.

    Parameters
    ----------
    shards : tuple of dict
        `SHARDS` dicts; nobody may write to them afterwards.
    """

    __slots__ = ("_shards", "_length")

    def __init__(self, shards: tuple[dict[str, _Value], ...] = ()) -> None:
        self._shards = shards or tuple({} for _ in range(SHARDS))
        self._length = sum(map(len, self._shards))

    def __getitem__(self, key: str) -> _Value:
        """Give the value of a key; KeyError without one."""
        return self._shards[hash(key) % SHARDS][key]

    def __iter__(self) -> Iterator[str]:
        """Give the keys in no particular order."""
        for shard in self._shards:
            yield from shard

    def __len__(self) -> int:
        """Give the number of keys."""
        return self._length

    def draft(self) -> "ShardedMapDraft[_Value]":
        """Begin a changed copy."""
        return ShardedMapDraft(self._shards)


@final
class ShardedMapDraft(Generic[_Value]):
    """A copy in the making; the shards it writes to are its own."""

    __slots__ = ("_shards", "_owned")

    def __init__(self, shards: tuple[dict[str, _Value], ...]) -> None:
        self._shards = list(shards)
        self._owned: set[int] = set()

    def get(self, key: str) -> _Value | None:
        """Give the value of a key, None without one."""
        return self._shards[hash(key) % SHARDS].get(key)

    def put(self, key: str, value: _Value) -> None:
        """Give a key a value."""
        self._own_shard(key)[key] = value

    def remove(self, key: str) -> _Value | None:
        """Take a key away and give its value, None without one."""
        return self._own_shard(key).pop(key, None)

    def finished(self) -> ShardedMap[_Value]:
        """Give the copy; the draft must not be written to any more."""
        return ShardedMap(tuple(self._shards))

    def _own_shard(self, key: str) -> dict[str, _Value]:
        index = hash(key) % SHARDS
        if index not in self._owned:
            self._shards[index] = dict(self._shards[index])
            self._owned.add(index)
        return self._shards[index]
