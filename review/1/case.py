"""Case 1: streams go on at another software version after a kill.

A service is released in two halves: its replicas of version 1 are replaced by
others of version 2, one after the other. All daemons are killed at once while
streams of version 1 run, and are back after the last replica of version 1 has
left. The clients take their streams up again. Exits with 1 if more than two streams hold
events of both versions, with 0 if not, and 2 if the case could not run.
"""

import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common import deployment as _deployment  # noqa: E402

DAEMONS = 3
REPLICAS = 6
CLIENTS = 24
EVENTS = 65
EVENT_SECONDS = 0.1
# Half of the replicas are replaced at a time. Seconds after the streams have
# begun, and between two replicas.
RELEASES_AT_SECONDS = (-6.0, 0.5)
RELEASE_GAP_SECONDS = 0.77
# A replica that drains goes on serving for the drain time-out and a little
# longer.
SERVES_SECONDS = 2.4
# Seconds after the streams have begun; the last replica leaves at 4.44.
KILL_AT_SECONDS = 4.1
KILLED_SECONDS = 0.5
# A client tries once more, on a new connection, as the sheets say.
RETRY_AFTER_SECONDS = (1.6,)
MAX_MIXED = 2


def plan(request):
    """Return the number of events and the seconds between them."""
    return EVENTS, EVENT_SECONDS


class Client(threading.Thread):
    """Reads one stream, and takes it up again when it breaks."""

    def __init__(self, number, deployment, record):
        super().__init__(daemon=True)
        self.name = f"c-{number:02d}"
        self._number = number
        self._deployment = deployment
        self._record = record
        self.versions_by_id = {}

    def run(self):
        self._deadline = time.monotonic() + _deployment.TIMEOUT_MS / 1000
        if self._try(0):
            return
        for number, pause in enumerate(RETRY_AFTER_SECONDS, start=1):
            time.sleep(pause)
            if self._try(number):
                return

    def _try(self, number):
        """Make one attempt; return whether the stream is complete."""
        attempt = f"{self.name}-{number}"
        daemons = self._deployment.daemons
        daemon = daemons[(self._number + number) % len(daemons)]
        fields = _deployment.generation_fields(
            attempt,
            EVENTS,
            session=self.name,
            shared_part=f"5c1e07{self._number:02x}",
        )
        if self.versions_by_id:
            fields += [
                ("Last-Event-Id", str(max(self.versions_by_id))),
                ("Resumes", f"{self.name}-0"),
            ]
        try:
            connection = _deployment.connect(daemon)
        except OSError:
            self._record.write(f"{attempt}: no connection to {daemon.name}")
            return False
        try:
            connection.send(
                "POST",
                _deployment.RESUMABLE + "go",
                fields,
                f"the prompt of {self.name}".encode(),
            )
            answer = connection.receive()
        except OSError:
            return False
        finally:
            connection.close()
        self._add_events(answer)
        self._record.write(
            f"{attempt}: status {answer.status}, {answer.end}, now "
            f"{len(self.versions_by_id)} of {EVENTS} events, of versions "
            f"{sorted(set(self.versions_by_id.values()))}"
        )
        return answer.status == 200 and answer.end == "complete"

    def _add_events(self, answer):
        if answer.status != 200:
            return
        for event in answer.body.split(b"\n\n")[:-1]:
            lines = event.decode().split("\n")
            number = int(lines[0].removeprefix("id: "))
            version = lines[1].removeprefix("data: ").split(" ")[0]
            self.versions_by_id[number] = version


def play(deployment, record, has_trouble):
    """Play the case; return whether ORDER held."""
    began = time.monotonic() - RELEASES_AT_SECONDS[0]
    threading.Thread(
        target=release, args=(deployment, began, record), daemon=True
    ).start()
    wait_until(began)
    clients = [
        Client(number, deployment, record) for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    wait_until(began + KILL_AT_SECONDS)
    if has_trouble:
        for daemon in deployment.daemons:
            daemon.send(signal.SIGKILL)
        record.write("all daemons are killed")
        for daemon in deployment.daemons:
            daemon.process.wait()
        time.sleep(KILLED_SECONDS)
        for daemon in deployment.daemons:
            daemon.restart()
        record.write("all daemons start again")
    for client in clients:
        client.join(timeout=20.0)
    mixed = [
        client.name
        for client in clients
        if len(set(client.versions_by_id.values())) > 1
    ]
    record.write(f"{len(mixed)} of {CLIENTS} streams are of two versions")
    return len(mixed) <= MAX_MIXED


def release(deployment, began, record):
    """Replace the replicas, one after the other in each half."""
    old = list(deployment.replicas)
    half = len(old) // 2
    for at, group in zip(RELEASES_AT_SECONDS, (old[:half], old[half:])):
        wait_until(began + at)
        for replica in group:
            replace(deployment, replica, record)
            time.sleep(RELEASE_GAP_SECONDS)


def replace(deployment, old, record):
    """Start a replica of version 2, and have one of version 1 drain."""
    new = deployment.add_replica(plan=plan, version="2")
    old.drain()
    record.write(
        f"{new.name} of version 2 starts, {old.name} of version 1 drains"
    )
    threading.Thread(
        target=leave_later, args=(old, record), daemon=True
    ).start()


def leave_later(replica, record):
    time.sleep(SERVES_SECONDS)
    replica.leave()
    record.write(f"{replica.name} of version 1 leaves")


def wait_until(at):
    time.sleep(max(0.0, at - time.monotonic()))


if __name__ == "__main__":
    _deployment.main(
        HERE, play, plan=plan, daemons=DAEMONS, replicas=REPLICAS
    )
