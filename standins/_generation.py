"""Generation in a model engine: slots, prefill and tokens."""

import bisect
import enum
import time
from typing import Any
from typing import Callable
from typing import Sequence
from typing import final

import gevent
from gevent import event
import msgspec

from standins import _prefix_cache

MIN_TICK_SECONDS = 0.002


class State(enum.Enum):
    """State of a generation."""

    WAITING = "waiting"
    PREFILL = "prefill"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@final
class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Speeds and sizes of an engine; times in seconds."""

    slots: int
    prefix_cache_tokens: int
    prefill_tokens_per_second: float
    token_interval: float
    token_interval_per_running: float
    load_lag: float
    resume_grace: float


@final
class Generation:
    """Progress of the answer to one request.

    Parameters
    ----------
    request_id, chat_id
        Ids from the request's headers.
    priority
        Lower numbers are served first.
    chain
        The prompt.
    token_texts
        All tokens of the answer, which is determined in advance.
    """

    def __init__(
        self,
        *,
        request_id: str,
        chat_id: str,
        priority: int,
        chain: Sequence[_prefix_cache.Link],
        token_texts: Sequence[str],
    ) -> None:
        self.request_id = request_id
        self.chat_id = chat_id
        self.priority = priority
        self.chain = chain
        self.token_texts = token_texts
        self.prompt_tokens = sum(link.tokens for link in chain)
        self.cached_tokens = 0
        self.produced = 0
        self.state = State.WAITING
        self.started = event.Event()
        self.finished = event.Event()
        self.progress = event.Event()
        self.followers = 0
        self.unfollowed_at = time.monotonic()
        self.ended_at = 0.0
        self.order = (0, 0)

    @property
    def ended(self) -> bool:
        """Whether the generation is done or cancelled."""
        return self.state in (State.DONE, State.CANCELLED)

    @property
    def prefilled(self) -> bool:
        """Whether the prefill is done."""
        return self.state in (State.RUNNING, State.DONE)

    def text(self) -> str:
        """Return the text produced so far."""
        return "".join(self.token_texts[: self.produced])

    def notify_followers(self) -> None:
        """Wake all followers to check for new events."""
        progress = self.progress
        self.progress = event.Event()
        progress.set()


@final
class Scheduler:
    """The slots of an engine and the ticker that produces tokens.

    Parameters
    ----------
    settings
        Speeds and sizes.
    record
        Called with an event's name and its generation.
    on_load
        Called after `running` or `waiting` has changed.
    is_stopped
        Returns whether a fault stops all generation.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        record: Callable[[str, Generation], None],
        on_load: Callable[[], None],
        is_stopped: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._record = record
        self._on_load = on_load
        self._is_stopped = is_stopped
        self._cache = _prefix_cache.PrefixCache(settings.prefix_cache_tokens)
        self._waiting: list[Generation] = []
        self._arrivals = 0
        self._slot_holders: set[Generation] = set()
        self._running: set[Generation] = set()
        self._credit = 0.0
        self._ticker: gevent.Greenlet | None = None

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._slot_holders)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    def submit(self, generation: Generation) -> None:
        """Queue `generation` for a slot, ordered by priority and arrival."""
        self._arrivals += 1
        generation.order = (generation.priority, self._arrivals)
        bisect.insort(self._waiting, generation, key=_sort_key)
        self._fill_slots()
        self._on_load()

    def cancel(self, generation: Generation) -> None:
        """Stop `generation` and free its slot."""
        if generation.ended:
            return
        if generation.state is State.WAITING:
            self._waiting.remove(generation)
        self._end(generation, State.CANCELLED)

    def _fill_slots(self) -> None:
        while self._waiting and self.running < self._settings.slots:
            generation = self._waiting.pop(0)
            self._slot_holders.add(generation)
            generation.state = State.PREFILL
            cached = self._cache.cached_tokens(generation.chain)
            generation.cached_tokens = cached
            self._record("start", generation)
            generation.started.set()
            gevent.spawn(self._prefill, generation)

    def _prefill(self, generation: Generation) -> None:
        uncached = generation.prompt_tokens - generation.cached_tokens
        rate = self._settings.prefill_tokens_per_second
        gevent.sleep(uncached / rate if rate else 0.0)
        while self._is_stopped() and not generation.ended:
            gevent.sleep(MIN_TICK_SECONDS)
        if generation.ended:
            return
        self._cache.add(generation.chain)
        generation.state = State.RUNNING
        self._running.add(generation)
        generation.notify_followers()
        if self._ticker is None:
            self._ticker = gevent.spawn(self._tick_while_running)

    def _tick_while_running(self) -> None:
        last = time.monotonic()
        while self._running:
            interval = self._interval()
            gevent.sleep(max(interval, MIN_TICK_SECONDS))
            now = time.monotonic()
            elapsed, last = now - last, now
            if self._is_stopped():
                continue
            self._produce_tokens(self._steps(elapsed, interval))
        self._ticker = None

    def _interval(self) -> float:
        others = max(0, len(self._running) - 1)
        extra = others * self._settings.token_interval_per_running
        return self._settings.token_interval + extra

    def _steps(self, elapsed: float, interval: float) -> int | None:
        if not interval:
            return None
        self._credit += elapsed / interval
        steps = int(self._credit)
        self._credit -= steps
        return steps

    def _produce_tokens(self, steps: int | None) -> None:
        for generation in list(self._running):
            total = len(generation.token_texts)
            remaining = total - generation.produced
            generation.produced += (
                remaining if steps is None else min(steps, remaining)
            )
            if generation.produced == total:
                self._end(generation, State.DONE)
            else:
                generation.notify_followers()

    def _end(self, generation: Generation, state: State) -> None:
        generation.state = state
        generation.ended_at = time.monotonic()
        self._slot_holders.discard(generation)
        self._running.discard(generation)
        done = state is State.DONE
        if done:
            answer = generation.text()
            self._cache.add(
                _prefix_cache.extend_chain(
                    generation.chain, "assistant", answer
                )
            )
        self._record("end" if done else "cancel", generation)
        self._fill_slots()
        self._on_load()
        generation.started.set()
        generation.finished.set()
        generation.notify_followers()


def _sort_key(generation: Generation) -> Any:
    return generation.order
