"""Requests that a daemon has read and not answered completely."""

from collections.abc import Iterator
import contextlib
import enum
from typing import Any
from typing import final

import gevent
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.forwarding import _answer_durations
from topazlug.targets import _target_client


@final
class Interrupted(_errors.TopazlugError):
    """The daemon stops and can't wait for a request any longer.

    It is raised in the request's greenlet, wherever that waits.
    """


class Phase(enum.Enum):
    """How far a request has come.

    Attributes
    ----------
    READING
        Its body is being read.
    WAITING
        It waits for a replica.
    SENT
        A replica or another daemon may be running it.
    ANSWERING
        Its answer is being sent to the caller.
    """

    READING = "reading"
    WAITING = "waiting"
    SENT = "sent"
    ANSWERING = "answering"


@final
class OpenRequest(msgspec.Struct, eq=False, kw_only=True):
    """One request whose answer has not ended.

    Attributes
    ----------
    received_at : float
        Monotonic seconds at which its head had been read.
    greenlet : greenlet or None
        Serves the request; None if it can't be interrupted.
    is_delegated : bool
        Whether another daemon sent it.
    attempt : RequestId
        Id of the attempt, empty until the head is decoded.
    phase : Phase
        How far it has come.
    outcome : Outcome
        Whether it may have run.
    kind : AnswerKind or None
        What the duration of its answer depends on; None until its route is
        known.
    deadline : float or None
        Monotonic seconds at which it ends without an answer; None until its
        route is known.
    answered_at : float or None
        Monotonic seconds at which its answer began; None before.
    """

    received_at: float = 0.0
    greenlet: Any = None
    is_delegated: bool = False
    attempt: _ids.RequestId = _ids.RequestId("")
    phase: Phase = Phase.READING
    outcome: _errors.Outcome = _errors.Outcome.NOT_RUN
    kind: _answer_durations.AnswerKind | None = None
    deadline: float | None = None
    answered_at: float | None = None

    @property
    def is_unsent(self) -> bool:
        """Return whether no replica can be running it at this moment."""
        return self.phase in (Phase.READING, Phase.WAITING)

    @contextlib.contextmanager
    def being_sent(self) -> Iterator[None]:
        """Record that the request may run from the beginning of the block.

        It has not run if the block fails with an error that says so.
        """
        before = self.outcome
        self.phase = Phase.SENT
        self.outcome = _errors.Outcome.UNKNOWN
        try:
            yield
        except _target_client.ConnectFailed:
            self.phase = Phase.WAITING
            self.outcome = before
            raise
        except _errors.RequestError as error:
            self.phase = Phase.WAITING
            if error.outcome is _errors.Outcome.NOT_RUN:
                self.outcome = before
            raise


@final
class OpenRequests:
    """All requests whose answer has not ended.

    Parameters
    ----------
    clock : Clock
        Clock of the daemon.

    Attributes
    ----------
    delegated_count : int
        Number of those that other daemons have sent.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        # Keys only, in the order in which the requests were received.
        self._requests: dict[OpenRequest, None] = {}
        self.delegated_count = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(list(self._requests))

    def begin(self, *, is_delegated: bool) -> OpenRequest:
        """Add a request that the current greenlet serves."""
        request = OpenRequest(
            received_at=self._clock.monotonic(),
            greenlet=gevent.getcurrent(),
            is_delegated=is_delegated,
        )
        self._requests[request] = None
        self.delegated_count += is_delegated
        return request

    def end(self, request: OpenRequest) -> None:
        """Remove a request whose answer has ended, complete or not."""
        del self._requests[request]
        self.delegated_count -= request.is_delegated

    def interrupt_unsent(self, request: OpenRequest) -> None:
        """Raise `Interrupted` in a request unless it is sent by then."""
        self._schedule(request, (Phase.READING, Phase.WAITING))

    def interrupt_unanswered(self) -> None:
        """Raise `Interrupted` in all requests whose answer has not begun."""
        for request in self:
            self._schedule(request, (Phase.READING, Phase.WAITING, Phase.SENT))

    def _schedule(
        self, request: OpenRequest, phases: tuple[Phase, ...]
    ) -> None:
        # A greenlet can be interrupted from the event loop only. Others run
        # before that, so the phase is checked there.
        loop = gevent.get_hub().loop
        loop.run_callback(self._interrupt, request, phases)

    def _interrupt(
        self, request: OpenRequest, phases: tuple[Phase, ...]
    ) -> None:
        if request in self._requests and request.phase in phases:
            request.greenlet.throw(Interrupted("the daemon stops"))
