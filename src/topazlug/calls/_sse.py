"""Server-sent events: splitting of a byte stream into complete events.

Only complete events are relayed, so that a stream that breaks in the middle of
an event can be resumed without a truncated or duplicated event.
"""

from typing import final

DONE = b"data: [DONE]"
_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"
_MAX_EVENT_BYTES = 1 << 20
# A target that resumes a stream may repeat some of its events.
_MAX_DISCARDED_BYTES = 1 << 20


class EventTooLong(ValueError):
    """There is no end of an event, or of events that are discarded."""


class EventMissing(ValueError):
    """An event's id shows that an event before it was lost."""


@final
class EventReader:
    """Splits a stream into events and discards repeated ones.

    Parameters
    ----------
    last_id : int or None
        Id of the last event that the caller has; None if the sender may
        choose the first id.

    Attributes
    ----------
    last_id : int or None
        Id of the last event returned; -1 or None before the first.
    done : bool
        Whether the closing event was received.
    count : int
        Number of events returned, without the closing one.
    """

    def __init__(self, *, last_id: int | None = -1) -> None:
        self._partial = b""
        self._discarded = 0
        self.last_id = last_id
        self.done = False
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Process received bytes and return the events they complete.

        Parameters
        ----------
        data : bytes
            The bytes received.

        Returns
        -------
        bytes
            Complete new events in order; may be empty.

        Raises
        ------
        EventTooLong
            An event is longer than 1 MiB, or more than that was discarded
            since the last new event.
        EventMissing
            An event is missing after `last_id`, where the stream must be
            resumed.
        """
        text = self._partial + data if self._partial else data
        *events, self._partial = text.split(_EVENT_END)
        if len(self._partial) > _MAX_EVENT_BYTES:
            raise EventTooLong(
                f"incomplete event of {len(self._partial)} bytes"
            )
        new_events = []
        for event in events:
            try:
                if self._is_new(event):
                    new_events.append(event)
            except EventMissing:
                if not new_events:
                    raise
                # Return the events before the gap first. The event after it
                # is put back, so that the next call raises.
                self._partial = event + _EVENT_END + self._partial
                break
        if not new_events:
            self._discard(sum(map(len, events)))
            return b""
        self._discarded = 0
        return _EVENT_END.join(new_events) + _EVENT_END

    def _discard(self, size: int) -> None:
        self._discarded += size
        if self._discarded > _MAX_DISCARDED_BYTES:
            raise EventTooLong(f"{self._discarded} bytes without a new event")

    @property
    def is_between_events(self) -> bool:
        """Return whether no partial event is buffered."""
        return not self._partial

    def discard_partial(self) -> None:
        """Discard a partial event before the stream is resumed."""
        self._partial = b""

    def _is_new(self, event: bytes) -> bool:
        if self.done:
            return False
        if event.startswith(DONE):
            self.done = True
            return True
        event_id = _event_id(event)
        if event_id is not None:
            last = event_id - 1 if self.last_id is None else self.last_id
            if event_id <= last:
                return False
            if event_id != last + 1:
                raise EventMissing(f"event {event_id} follows event {last}")
            self.last_id = event_id
        self.count += 1
        return True


def _event_id(event: bytes) -> int | None:
    """Return an event's numeric id, which need not be in its first line."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            digits = line[len(_ID_FIELD) :].strip()
            return int(digits) if digits.isdigit() else None
    return None
