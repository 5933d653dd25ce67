"""Server-sent events: whole events out of a stream of bytes.

Only whole events are passed on, so that a stream which breaks in the middle
of one can be continued without a torn or doubled event.
"""

from typing import final

DONE = b"data: [DONE]"
_END = b"\n\n"
_ID = b"id:"
_MAX_EVENT_BYTES = 1 << 20


class EventTooLong(ValueError):
    """An event passes the bound on its size."""


class EventMissing(ValueError):
    """An event's number shows that another was lost before it."""


@final
class EventReader:
    """Cuts a stream into events and drops the ones seen before.

    Parameters
    ----------
    last_id : int or None
        Number of the last event that the caller has; None where the first
        number is the sender's choice.

    Attributes
    ----------
    last_id : int
        Number of the last event passed on; -1 or None before the first.
    done : bool
        Whether the closing event came.
    count : int
        Events passed on, the closing one not counted.
    """

    def __init__(self, *, last_id: int | None = -1) -> None:
        self._rest = b""
        self.last_id = last_id
        self.done = False
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes and give the whole events among them.

        Parameters
        ----------
        data : bytes
            What came.

        Returns
        -------
        bytes
            Whole new events in order; may be empty.

        Raises
        ------
        EventTooLong
            An event passes one MiB.
        EventMissing
            A number is left out; events before it were already counted, so
            the stream must be continued after `last_id`.
        """
        text = self._rest + data if self._rest else data
        *events, self._rest = text.split(_END)
        if len(self._rest) > _MAX_EVENT_BYTES:
            raise EventTooLong(f"{len(self._rest)} bytes without an end")
        fresh = []
        for event in events:
            try:
                if self._is_new(event):
                    fresh.append(event)
            except EventMissing:
                if not fresh:
                    raise
                # The events before the gap are passed on first; the gap
                # shows again with the next bytes or the stream's end.
                self._rest = event + _END + self._rest
                break
        if not fresh:
            return b""
        return _END.join(fresh) + _END

    @property
    def is_between_events(self) -> bool:
        """Say whether no part of an event is left over."""
        return not self._rest

    def discard_partial(self) -> None:
        """Forget a torn event before the stream is continued."""
        self._rest = b""

    def _is_new(self, event: bytes) -> bool:
        if self.done:
            return False
        if event.startswith(DONE):
            self.done = True
            return True
        number = _number(event)
        if number is not None:
            last = number - 1 if self.last_id is None else self.last_id
            if number <= last:
                return False
            if number != last + 1:
                raise EventMissing(f"{number} follows {last}")
            self.last_id = number
        self.count += 1
        return True


def _number(event: bytes) -> int | None:
    """Give an event's number; other lines may stand before it."""
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            digits = line[len(_ID) :].strip()
            return int(digits) if digits.isdigit() else None
    return None
