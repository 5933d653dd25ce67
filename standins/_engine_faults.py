"""Faults of the model engine."""

from typing import final

import msgspec


@final
class Faults(msgspec.Struct, kw_only=True):
    """Faults; each `_count` is the number of requests still affected.

    Notes
    -----
    `truncate_after` is a number of events of a streamed answer, and `late`
    delays the head, in seconds. `stalled` stops generation only, `freeze`
    stops answers too. A chat with `crash_text` in its body ends the engine.
    """

    truncate_after: int = 0
    truncate_count: int = 0
    resume_works: bool = True
    late: float = 0.0
    late_count: int = 0
    freeze: bool = False
    wrong_request_id_count: int = 0
    duplicate_events_count: int = 0
    stalled: bool = False
    refuse_count: int = 0
    ignore_fencing: bool = False
    load_silent: bool = False
    garbage_count: int = 0
    crash_text: str = ""
