"""An owner's replies to admission requests."""

from collections.abc import Callable
from typing import final

from topazlug._generated import messages

Reply = Callable[[messages.AdmitReply], None]


@final
class OwnerReplies:
    """Sends replies and counts them by verdict.

    Attributes
    ----------
    count_by_verdict : dict
        Number of replies sent.
    """

    def __init__(self) -> None:
        self.count_by_verdict = dict.fromkeys(messages.Verdict, 0)

    def send(
        self,
        reply: Reply,
        verdict: messages.Verdict,
        *,
        load: int = 0,
        replica: str = "",
        retry_after: float = 0.0,
        reads: bool = False,
        cold: bool = False,
        backoff: float = 0.0,
        stall: float = 0.0,
        holds: bool = False,
    ) -> None:
        """Reply to one admission request.

        Parameters
        ----------
        reply : callable
            Called with the reply.
        verdict : Verdict
            Outcome of the request.
        load : int
            Load of the replica, in load units.
        replica : str
            Replica that the chat was displaced to.
        retry_after : float
            Suggested retry delay in seconds.
        reads : bool
            Whether the request is the first to read its context there.
        cold : bool
            Whether the request was rejected because the replica is cold.
        backoff : float
            Remaining seconds of the replica's backoff for all daemons.
        stall : float
            Seconds of delay that reading the prompt there would cause.
        holds : bool
            Whether the replica, which is over its bound, holds the context.
        """
        self.count_by_verdict[verdict] += 1
        reply(
            messages.AdmitReply(
                verdict=verdict,
                load=load,
                replica=replica,
                retry_after=retry_after,
                reads=reads,
                cold=cold,
                backoff=backoff,
                stall=stall,
                holds=holds,
            )
        )
