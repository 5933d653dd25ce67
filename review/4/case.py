"""A stream that broke off with its replica ends as complete for its client.

Streams without a length run on five model replicas, each a process of its
own. One of them is killed.
"""

import http.client
import pathlib
import random
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

import harness  # noqa: E402

NAMES = [f"edge-wien-{zone}-1" for zone in "abc"]
POOL = "topazlug-pool"
REPLICAS = 5
CLIENTS = 20
EVENTS = 32
PAUSE = 0.15
# Clients abandon a stream after a gap of eight times the longest pause.
MAX_GAP = 8 * 0.3
DEADLINE_MS = 8000
KEY = "some-key"
# Paths of a route whose streams may not be resumed, and of one where they may.
PATHS = ("/plan/x", "/audit/x")


class Stream:
    """What a client received of one stream."""

    def __init__(self, path):
        self.path = path
        self.attempt = f"{random.getrandbits(64):016x}"
        self.status = 0
        self.is_signed = False
        self.events = []
        # Whether the answer's own framing said that it is complete.
        self.is_complete = False
        self.why = ""


def read_stream(daemon, path, record):
    """Make one client attempt and read its stream to the end."""
    stream = Stream(path)
    connection = http.client.HTTPConnection(
        daemon.host, daemon.port, timeout=MAX_GAP
    )
    fields = {
        "Host": "ficu95.example",
        "X-Attempt-Id": stream.attempt,
        "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Model": "m",
        "X-Token-Counts": "700,288",
        "X-Prompt-Prefix": f"5c1e07a2:580,{stream.attempt}:120",
        "Authorization": f"Bearer {KEY}",
    }
    record.line(f"sent     {stream.attempt} to {daemon.name}: {path}")
    received = b""
    try:
        connection.request("POST", path, b"{}", fields)
        answer = connection.getresponse()
        stream.status = answer.status
        stream.is_signed = bool(answer.getheader("X-Response-Signature"))
        is_chunked = answer.chunked
        # Raises if the last chunk is missing.
        while data := answer.read1(65536):
            received += data
        stream.is_complete = is_chunked
    except (OSError, http.client.HTTPException) as error:
        stream.why = repr(error)
    finally:
        connection.close()
    stream.events = [
        int(part.split(b"\n")[0].removeprefix(b"id: "))
        for part in received.split(b"\n\n")
        if part.startswith(b"id: ")
    ]
    end = "complete" if stream.is_complete else "broken off"
    record.line(
        f"answered {stream.attempt}: {stream.status}, {len(stream.events)} "
        f"events, {end} {stream.why}"
    )
    return stream


def start_replicas(store, folder, stack):
    """Start the replicas; they are ended with the stack."""
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
    return replicas


def routes():
    fields = {
        "kind": "streaming",
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 300,
        "priority": 0,
        "sticky": True,
    }
    return [
        harness.route("plan", "/plan/", POOL, **fields),
        harness.route(
            "audit", "/audit/", POOL, **{**fields, "resumable": True}
        ),
    ]


def violations(streams, replica):
    """Check that no stream ends as complete before its last event."""
    written = replica.written()
    return [
        f"{one.attempt} ({one.path}) ended as complete with {one.status}, "
        f"{'signed' if one.is_signed else 'not signed'}, after event "
        f"{len(one.events)} of {EVENTS}; {replica.name} had written "
        f"{written.get(one.attempt, 0)} when it was killed"
        for one in streams
        if one.status == 200
        and one.is_complete
        and one.events != list(range(1, EVENTS + 1))
    ]


def play(record, folder, stack):
    store = harness.Store()
    replicas = start_replicas(store, folder, stack)
    store.put(
        "op",
        "config",
        harness.configuration(4, routes(), [POOL], {"ringstrasse": [KEY]}),
    )
    fleet = harness.Fleet(NAMES, store, folder)
    stack.callback(fleet.end)
    fleet.start()
    # Until all machines know each other, and are in touch.
    time.sleep(4.0)
    streams = []

    def run_client(number):
        daemon = fleet.daemons[number % len(NAMES)]
        path = PATHS[number % len(PATHS)]
        streams.append(read_stream(daemon, path, record))

    clients = [
        threading.Thread(target=run_client, args=(number,))
        for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
        time.sleep(0.02)
    time.sleep(1.5)
    busiest = max(replicas, key=lambda one: len(one.written()))
    if harness.trouble_is_on():
        busiest.kill()
        record.line(f"trouble  {busiest.name} is killed")
    for client in clients:
        client.join(30.0)
    if not any(len(one.events) == EVENTS for one in streams):
        raise harness.CannotRun("no stream was served")
    return violations(streams, busiest)


if __name__ == "__main__":
    harness.main(FOLDER, play)
