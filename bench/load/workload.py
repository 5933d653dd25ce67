"""The chats of a load generator, their messages and their timing."""

import random
from typing import Any
from typing import final

import msgspec

CHARACTERS_PER_TOKEN = 4
_WORDS = (
    *("campus", "carrera", "horario", "salto", "visita", "carta", "turno"),
    *("familia", "plan", "minibar", "nacht", "zimmer", "lager", "rechnung"),
)


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """The ports on which one daemon listens."""

    name: str
    callers_port: int
    administration_port: int


class TeamShare(msgspec.Struct, frozen=True, kw_only=True):
    """A team and its share of the chats."""

    name: str
    key: str
    share: float


class Phase(msgspec.Struct, frozen=True, kw_only=True):
    """A time span of the run with its own request rates.

    Notes
    -----
    `start` and `end` are in seconds since the epoch. The think times of
    chats are divided by `rate`, which is 1 in a quiet phase, and by their
    team's entry in `rate_by_team`.
    """

    name: str
    start: float
    end: float
    measured: bool
    rate_by_team: dict[str, float] = {}
    rate: float = 1.0

    def team_rate(self, team: str) -> float:
        """Return the factor by which a team's think times are divided."""
        return self.rate * self.rate_by_team.get(team, 1.0)


class Sizes(msgspec.Struct, frozen=True, kw_only=True):
    """The sizes of chats and turns; times in seconds."""

    chats: int = 600
    think: float = 6.0
    turns: float = 14.0
    tokens_least: int = 15
    tokens_most: int = 45
    first_characters: int = 1600
    turn_characters: int = 200
    deadline: float = 10.0


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The work of one load generator."""

    seed: int
    worker: int
    workers: int
    model: str
    entries: list[Entry]
    teams: list[TeamShare]
    phases: list[Phase]
    sizes: Sizes

    @property
    def start(self) -> float:
        """Return the start time in seconds since the epoch."""
        return self.phases[0].start

    @property
    def end(self) -> float:
        """Return the end time in seconds since the epoch."""
        return self.phases[-1].end


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


def count_tokens(text: str) -> int:
    """Return the number of tokens, as the stand-in engine counts them."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def next_turn_time(
    phases: list[Phase], team: str, *, now: float, think_time: float
) -> float:
    """Return when a chat sends its next turn.

    Parameters
    ----------
    phases : list of Phase
        Consecutive phases without gaps.
    team : str
        The chat's team.
    now : float
        Seconds since the epoch.
    think_time : float
        Seconds of pause in a quiet phase. If another phase begins during the
        pause, its rate applies to the remaining part.

    Returns
    -------
    float
        Seconds since the epoch.
    """
    at = now
    for phase in phases:
        if phase.end <= at:
            continue
        pace = phase.team_rate(team)
        capacity = (phase.end - at) * pace
        if think_time <= capacity:
            return at + think_time / pace
        think_time -= capacity
        at = phase.end
    return at + think_time


def surge_rates(teams: list[TeamShare], *, share: float) -> dict[str, float]:
    """Return the rates by team that shift load to the largest team.

    The total load of all teams stays about the same.

    Parameters
    ----------
    teams : list of TeamShare
        All teams.
    share : float
        Share of the load that the largest team is to generate.
    """
    largest = max(teams, key=lambda team: team.share)
    rest = (1 - share) / (1 - largest.share)
    rates = {team.name: rest for team in teams}
    rates[largest.name] = share / largest.share
    return rates


@final
class Chat:
    """A chat with several turns.

    Parameters
    ----------
    name : str
        The chat's id.
    team : TeamShare
        The team that it belongs to.
    sizes : Sizes
        The sizes of its turns.
    randomness : random.Random
        A seeded generator.
    """

    def __init__(
        self,
        *,
        name: str,
        team: TeamShare,
        sizes: Sizes,
        randomness: random.Random,
    ) -> None:
        self.name = name
        self.team = team
        self.turn = 0
        self._sizes = sizes
        self._randomness = randomness
        self._history: list[Message] = []
        self._turn_count = max(
            1, round(randomness.expovariate(1 / sizes.turns))
        )

    @property
    def is_over(self) -> bool:
        """Whether the last turn is complete."""
        return self.turn >= self._turn_count

    @property
    def reusable_tokens(self) -> int:
        """Return the tokens that an engine may still have cached."""
        return sum(count_tokens(message.content) for message in self._history)

    def draw_think_time(self) -> float:
        """Draw the pause before the next turn in seconds."""
        return self._randomness.expovariate(1 / self._sizes.think)

    def next_question(self) -> str:
        """Return the user's next message."""
        size = self._sizes.turn_characters
        if not self._history:
            size = self._sizes.first_characters
        words = [f"{self.name} turn {self.turn}"]
        length = len(words[0])
        while length < size:
            word = self._randomness.choice(_WORDS)
            words.append(word)
            length += len(word) + 1
        return " ".join(words)

    def draw_answer_tokens(self) -> int:
        """Draw the length of the next answer in tokens."""
        sizes = self._sizes
        return self._randomness.randint(sizes.tokens_least, sizes.tokens_most)

    def body(self, model: str, question: str, tokens: int) -> dict[str, Any]:
        """Return the request body of a turn."""
        messages = [*self._history, Message("user", question)]
        return {
            "model": model,
            "messages": messages,
            "max_tokens": tokens,
            "stream": True,
        }

    def add_answer(self, question: str, answer: str) -> None:
        """Add a complete answer to the history, which ends the turn."""
        self._history.append(Message("user", question))
        self._history.append(Message("assistant", answer))
        self.turn += 1


def team_shares(names_and_keys: list[tuple[str, str]]) -> list[TeamShare]:
    """Return each team's share of the chats; the first three are large.

    Parameters
    ----------
    names_and_keys : list of tuple
        Names and keys of the teams, in the deployment's order.
    """
    large = [0.25, 0.18, 0.15][: len(names_and_keys)]
    small = len(names_and_keys) - len(large)
    rest = (1 - sum(large)) / small if small else 0.0
    shares = large + [rest] * small
    return [
        TeamShare(name=name, key=key, share=share)
        for (name, key), share in zip(names_and_keys, shares)
    ]
