"""An owner's answers to asks, counted by verdict."""

from collections.abc import Callable
from typing import final

from topazlug._generated import messages

Reply = Callable[[messages.AdmitReply], None]


@final
class OwnerReplies:
    """Gives answers and counts them.

    Attributes
    ----------
    count_by_verdict : dict
        Answers given so far.
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
    ) -> None:
        """Answer one ask.

        Parameters
        ----------
        reply : callable
            Takes the answer.
        verdict : Verdict
            What the owner says.
        load : int
            Load units that the replica holds.
        replica : str
            Where the chat was displaced to.
        retry_after : float
            Seconds.
        reads : bool
            Whether the request is the first to read its context there.
        cold : bool
            Whether there is no room as the replica has just started.
        backoff : float
            Seconds for which the replica wants no request of anybody.
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
            )
        )
