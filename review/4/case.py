"""A stopping machine takes requests that it cuts off later.

Clients send one stream after the other on kept connections to one of three
machines, which is stopped with SIGTERM.
"""

import http.client
import pathlib
import random
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

import harness  # noqa: E402

NAMES = [f"edge-wien-{zone}-1" for zone in "abc"]
POOL = "topazlug-pool"
REPLICAS = 5
CLIENTS = 30
# As many as a restock-plan of the sheet has; a stream takes 4.8 s.
EVENTS = 32
PAUSE = 0.15
DEADLINE_MS = 8000
KEY = "some-key"
PATH = "/plan/x"
# How long a client waits between an answer and its next request.
MAX_THINK_SECONDS = 0.04
BOUNDS = harness.BOUNDS
GRACE = BOUNDS["grace_period_s"]
# Requests sent later than this are owed an answer whatever the grace period.
LATE_SECONDS = 3.0


class Stream:
    """What a client sent and received of one stream."""

    def __init__(self):
        self.attempt = f"{random.getrandbits(64):016x}"
        self.sent_at = time.monotonic()
        self.ended_at = 0.0
        self.status = 0
        self.events = 0
        self.is_complete = False
        self.is_last = False
        self.why = ""


def send(connection, daemon, record):
    """Send one request and read its stream to the end."""
    stream = Stream()
    fields = {
        "Host": "ficu95.example",
        "X-Attempt-Id": stream.attempt,
        "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Model": "m",
        "X-Token-Counts": "700,288",
        "X-Prompt-Prefix": f"5c1e07a2:580,{stream.attempt}:120",
        "Authorization": f"Bearer {KEY}",
    }
    record.line(f"sent     {stream.attempt} to {daemon.name}")
    try:
        connection.request("POST", PATH, b"{}", fields)
        answer = connection.getresponse()
        stream.status = answer.status
        stream.is_last = answer.will_close
        # Raises if the last chunk, or part of a given length, is missing.
        while data := answer.read1(65536):
            stream.events += data.count(b"id: ")
        stream.is_complete = True
    except (OSError, http.client.HTTPException) as error:
        stream.why = repr(error)
    stream.ended_at = time.monotonic()
    end = "complete" if stream.is_complete else "broken off"
    record.line(
        f"answered {stream.attempt}: {stream.status}, {stream.events} events, "
        f"{end} {stream.why}"
    )
    return stream


def run_client(daemon, until, record, streams):
    """Send streams on one connection until it is closed."""
    connection = http.client.HTTPConnection(
        daemon.host, daemon.port, timeout=DEADLINE_MS / 1000
    )
    while time.monotonic() < until:
        stream = send(connection, daemon, record)
        streams.append(stream)
        if stream.is_last or not stream.is_complete:
            break
        time.sleep(random.uniform(0.0, MAX_THINK_SECONDS))
    connection.close()


def violations(streams, stopped_at, written):
    """Check LOST: what was taken and passed on gets its complete answer."""
    found = []
    for one in streams:
        sent = one.sent_at - stopped_at
        ended = one.ended_at - stopped_at
        was_passed_on = one.attempt in written
        has_time = one.ended_at - one.sent_at < DEADLINE_MS / 1000
        is_planned = 0.0 < ended <= GRACE + 1.0
        # A replica still at work in the last sixth of the grace period is an
        # excuse for what was sent early only.
        is_excused = sent <= LATE_SECONDS and ended >= GRACE * 5 / 6
        if one.is_complete or not was_passed_on or not has_time:
            continue
        if is_planned and not is_excused:
            found.append(
                f"{one.attempt}, sent {sent:.2f} s after SIGTERM, ran and was "
                f"cut off {ended:.2f} s after it, after {one.events} of "
                f"{EVENTS} events"
            )
    return found


def play(record, folder, stack):
    store = harness.Store()
    replicas = []
    for number in range(REPLICAS):
        replica = harness.StreamReplica(
            f"i-{number:08x}",
            POOL,
            f"wien-{'abc'[number % 3]}",
            store,
            folder,
            events=EVENTS,
            pause=PAUSE,
        )
        stack.callback(replica.end)
        replicas.append(replica)
    plan = harness.route(
        "plan",
        "/plan/",
        POOL,
        kind="streaming",
        timeout_ms=DEADLINE_MS,
        target_latency_ms=300,
        priority=0,
        sticky=True,
    )
    store.put(
        "op",
        "config",
        harness.configuration(4, [plan], [POOL], {"ringstrasse": [KEY]}),
    )
    fleet = harness.Fleet(NAMES, store, folder)
    stack.callback(fleet.end)
    fleet.start()
    # Until all machines know each other, and are in touch.
    time.sleep(4.0)
    stopping = fleet.daemons[0]
    streams = []
    until = time.monotonic() + 7.0
    clients = [
        threading.Thread(
            target=run_client, args=(stopping, until, record, streams)
        )
        for _ in range(CLIENTS)
    ]
    for client in clients:
        client.start()
        time.sleep(0.01)
    time.sleep(0.5)
    stopped_at = time.monotonic()
    if harness.trouble_is_on():
        stopping.send(signal.SIGTERM)
        record.line(f"planned  {stopping.name} gets SIGTERM")
    for client in clients:
        client.join(30.0)
    written = {}
    for replica in replicas:
        written.update(replica.written())
    if not any(one.is_complete for one in streams):
        raise harness.CannotRun("no stream was served")
    return violations(streams, stopped_at, written)


if __name__ == "__main__":
    harness.main(FOLDER, play)
