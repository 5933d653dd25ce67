"""A model engine with a prefix cache and resumable streams."""

import collections
import time
from typing import Callable
from typing import Iterator
from typing import TextIO
from typing import final
from urllib import parse

import gevent
import msgspec

from standins import _chat_wire
from standins import _engine_faults
from standins import _generation
from standins import _http
from standins import _registration

POLL_SECONDS = 0.02
DISCONNECT_POLL_SECONDS = 0.25
SWEEP_SECONDS = 0.1
RETENTION_SECONDS = 10.0
MAX_GENERATIONS = 2000
LEAVING = ("X-Target-State", "leaving")
NOT_RUN = ("X-Not-Run", "true")
STREAM_TYPE = ("Content-Type", "text/event-stream")


@final
class JournalEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An event of a request; `at` is in seconds since the epoch."""

    at: float
    event: str
    request_id: str
    chat_id: str
    cached_tokens: int
    prompt_tokens: int
    running: int


@final
class _LoadSample(msgspec.Struct, frozen=True, kw_only=True):
    at: float
    running: int
    waiting: int


@final
class Engine:
    """One replica of a model.

    Parameters
    ----------
    settings
        Speeds and sizes.
    registration
        Its entry on the instance list.
    journal_file
        Receives each journal entry as a line of JSON.
    crash
        Ends the process.
    """

    def __init__(
        self,
        *,
        settings: _generation.Settings,
        registration: _registration.Registration,
        journal_file: TextIO | None = None,
        crash: Callable[[], None] | None = None,
    ) -> None:
        self._crash = crash
        self.faults = _engine_faults.Faults()
        self.journal: list[JournalEntry] = []
        self._settings = settings
        self._registration = registration
        self._journal_file = journal_file
        self._leaving = False
        self._highest_fencing_number = 0
        self._by_request_id: dict[str, _generation.Generation] = {}
        # Includes generations whose request id was repeated: these are
        # replaced in the dictionary above, and without this list they would
        # never be swept and would keep their slots.
        self._generations: list[_generation.Generation] = []
        self._samples: collections.deque[_LoadSample] = collections.deque()
        self._scheduler = _generation.Scheduler(
            settings=settings,
            record=self._record,
            on_load=self._sample_load,
            is_stopped=lambda: self.faults.stalled or self.faults.freeze,
        )
        self._sample_load()
        gevent.spawn(self._sweep_forever)

    def answer(self, request: _http.Request) -> _http.Answer:
        """Answer one request."""
        if request.path == "/faults":
            return _http.faults_answer(self.faults, request)
        if request.path == "/journal":
            return _http.json_answer(200, self.journal)
        self._wait_while_frozen()
        if request.path == "/load":
            return self._load_answer()
        if request.path == "/admin/leave":
            self._leaving = True
            self._registration.leave()
            return _http.bytes_answer(204, b"")
        if request.path == "/v1/chat/completions":
            return self._chat_answer(request)
        if request.path.startswith("/v1/streams/"):
            rest = request.path.removeprefix("/v1/streams/")
            return self._stream_path_answer(request, rest)
        return _http.error_answer(404, "no_path", request.path)

    def _wait_while_frozen(self) -> None:
        while self.faults.freeze:
            gevent.sleep(POLL_SECONDS)

    def _record(self, name: str, generation: _generation.Generation) -> None:
        entry = JournalEntry(
            at=time.time(),
            event=name,
            request_id=generation.request_id,
            chat_id=generation.chat_id,
            cached_tokens=generation.cached_tokens,
            prompt_tokens=generation.prompt_tokens,
            running=self._scheduler.running,
        )
        self.journal.append(entry)
        if self._journal_file is not None:
            line = msgspec.json.encode(entry).decode()
            self._journal_file.write(line + "\n")
            self._journal_file.flush()

    def _sample_load(self) -> None:
        sample = _LoadSample(
            at=time.monotonic(),
            running=self._scheduler.running,
            waiting=self._scheduler.waiting,
        )
        self._samples.append(sample)
        self._drop_old_samples()

    def _drop_old_samples(self) -> None:
        visible_at = time.monotonic() - self._settings.load_lag
        while len(self._samples) > 1 and self._samples[1].at <= visible_at:
            self._samples.popleft()

    def _load_answer(self) -> _http.Answer:
        while self.faults.load_silent:
            gevent.sleep(POLL_SECONDS)
        self._drop_old_samples()
        sample = self._samples[0]
        value = {
            "running": sample.running,
            "waiting": sample.waiting,
            "slots": self._settings.slots,
            "state": self._registration.instance["state"],
            "incarnation": self._registration.instance["incarnation"],
        }
        return _http.json_answer(200, value)

    def _sweep_forever(self) -> None:
        while True:
            gevent.sleep(SWEEP_SECONDS)
            self._wait_while_frozen()
            now = time.monotonic()
            for generation in self._generations:
                if self._is_abandoned(generation, now):
                    self._scheduler.cancel(generation)
            self._evict_ended(now)

    def _is_abandoned(
        self, generation: _generation.Generation, now: float
    ) -> bool:
        if generation.followers:
            return False
        return now - generation.unfollowed_at > self._settings.resume_grace

    def _evict_ended(self, now: float) -> None:
        excess = len(self._generations) - MAX_GENERATIONS
        kept = []
        for index, generation in enumerate(self._generations):
            old = (
                now - generation.ended_at > RETENTION_SECONDS or index < excess
            )
            if not (generation.ended and old):
                kept.append(generation)
            elif self._by_request_id.get(generation.request_id) is generation:
                del self._by_request_id[generation.request_id]
        self._generations = kept

    def _rejection(self, request: _http.Request) -> _http.Answer | None:
        if self._leaving or _http.consume_fault(self.faults, "refuse_count"):
            headers = (NOT_RUN, *self._state_headers())
            return _http.error_answer(503, "refused", "not run", headers)
        if not request.header("X-Fencing-Number"):
            return None
        number = _http.int_header(request, "X-Fencing-Number", 0)
        if number < self._highest_fencing_number:
            if not self.faults.ignore_fencing:
                message = f"{number} < {self._highest_fencing_number}"
                headers = (NOT_RUN,)
                code = "stale_fencing_number"
                return _http.error_answer(409, code, message, headers)
        self._highest_fencing_number = max(
            number, self._highest_fencing_number
        )
        return None

    def _state_headers(self) -> tuple[tuple[str, str], ...]:
        return (LEAVING,) if self._leaving else ()

    def _chat_answer(self, request: _http.Request) -> _http.Answer:
        body = _http.parse_json_body(request)
        generation = _chat_wire.parse_generation(request, body)
        rejection = self._rejection(request)
        if rejection is not None:
            self._record("refused", generation)
            return rejection
        text = self.faults.crash_text
        if text and text.encode() in request.body and self._crash is not None:
            self._crash()
        if _http.consume_fault(self.faults, "garbage_count"):
            _http.send_garbage(request)
        generation.followers += 1
        self._by_request_id[generation.request_id] = generation
        self._generations.append(generation)
        self._scheduler.submit(generation)
        if body.get("stream"):
            return self._stream_answer(request, generation, next_id=0)
        return self._whole_answer(request, generation)

    def _whole_answer(
        self, request: _http.Request, generation: _generation.Generation
    ) -> _http.Answer:
        while not generation.finished.wait(DISCONNECT_POLL_SECONDS):
            if request.client_closed():
                # An answer that is not streamed can't be fetched later, so
                # its slot is freed.
                self._scheduler.cancel(generation)
        if generation.state is _generation.State.CANCELLED:
            raise _http.ConnectionCut()
        self._wait_before_head()
        value = _chat_wire.completion(generation)
        answer = _http.json_answer(200, value, self._headers(generation))
        if _http.consume_fault(self.faults, "truncate_count"):
            return _http.truncate(answer)
        return answer

    def _wait_before_head(self) -> None:
        self._wait_while_frozen()
        if _http.consume_fault(self.faults, "late_count"):
            gevent.sleep(self.faults.late)

    def _headers(
        self, generation: _generation.Generation
    ) -> tuple[tuple[str, str], ...]:
        request_id = generation.request_id
        if _http.consume_fault(self.faults, "wrong_request_id_count"):
            request_id = "wrong-" + request_id
        return (
            ("X-Request-Id", request_id),
            ("X-Cached-Tokens", str(generation.cached_tokens)),
            ("X-Prompt-Tokens", str(generation.prompt_tokens)),
            *self._state_headers(),
        )

    def _stream_path_answer(
        self, request: _http.Request, rest: str
    ) -> _http.Answer:
        quoted_id, _, action = rest.partition("/")
        generation = self._by_request_id.get(parse.unquote(quoted_id))
        if action == "cancel" and request.method == "POST":
            if generation is not None:
                self._scheduler.cancel(generation)
            return _http.bytes_answer(204, b"")
        if action or generation is None or not self.faults.resume_works:
            return _http.error_answer(404, "no_stream", rest)
        if generation.state is _generation.State.CANCELLED:
            return _http.error_answer(404, "no_stream", rest)
        last_id = _http.int_header(request, "Last-Event-ID", -1)
        generation.followers += 1
        return self._stream_answer(request, generation, next_id=last_id + 1)

    def _stream_answer(
        self,
        request: _http.Request,
        generation: _generation.Generation,
        next_id: int,
    ) -> _http.Answer:
        # The `finally` of the body removes the follower, but runs only if
        # the body is started. Errors before that are handled here.
        try:
            while not generation.started.wait(DISCONNECT_POLL_SECONDS):
                if request.client_closed():
                    raise _http.ConnectionCut()
            if generation.state is _generation.State.CANCELLED:
                raise _http.ConnectionCut()
            self._wait_before_head()
        except BaseException:
            _unfollow(generation)
            raise
        body = self._stream_body(request, generation, next_id)
        return _http.Answer(
            status=200,
            headers=(STREAM_TYPE, *self._headers(generation)),
            body=body,
        )

    def _stream_body(
        self,
        request: _http.Request,
        generation: _generation.Generation,
        next_id: int,
    ) -> Iterator[bytes]:
        try:
            cut = _http.consume_fault(self.faults, "truncate_count")
            repeats = 1
            if _http.consume_fault(self.faults, "duplicate_events_count"):
                repeats = 2
            max_events = self.faults.truncate_after if cut else None
            yield from self._events(
                request, generation, next_id, max_events, repeats
            )
        finally:
            _unfollow(generation)

    def _events(
        self,
        request: _http.Request,
        generation: _generation.Generation,
        next_id: int,
        max_events: int | None,
        repeats: int,
    ) -> Iterator[bytes]:
        sent = 0
        last_id = len(generation.token_texts) + 1
        while next_id <= last_id:
            self._wait_while_frozen()
            progress = generation.progress
            ready: list[bytes] = []
            while (
                next_id <= _chat_wire.last_event_id(generation)
                and sent != max_events
            ):
                ready.append(
                    _chat_wire.stream_event(generation, next_id) * repeats
                )
                next_id += 1
                sent += 1
            if ready:
                yield b"".join(ready)
            if sent == max_events:
                raise _http.ConnectionCut()
            if next_id > last_id or next_id <= _chat_wire.last_event_id(
                generation
            ):
                continue
            if generation.state is _generation.State.CANCELLED:
                raise _http.ConnectionCut()
            if (
                not progress.wait(DISCONNECT_POLL_SECONDS)
                and request.client_closed()
            ):
                raise _http.ConnectionCut()
        yield _chat_wire.DONE_EVENT


def _unfollow(generation: _generation.Generation) -> None:
    generation.followers -= 1
    generation.unfollowed_at = time.monotonic()
