"""Stand-ins for replicas of a model service.

A replica keeps its address and its id for the whole run. Each start is a new
incarnation, which it tells in `born`.
"""

import json
import threading
import time

from common import http1

_HEARTBEAT_SECONDS = 1.2
_SLOTS = 64


def document_block(number, size):
    """Return one numbered block of a document."""
    return ((b"%08d " % number) * (size // 9 + 1))[:size]


class Run:
    """One request that a replica began to work on."""

    def __init__(self, *, replica, born, attempt, path, total):
        self.at = time.monotonic()
        self.replica = replica
        self.born = born
        self.attempt = attempt
        self.path = path
        self.total = total
        self.sent = 0
        self.end = "running"


class Replica:
    """One replica.

    Parameters
    ----------
    name : str
        Its id.
    service, zone : str
        Its service and zone.
    store : Store
        Where it registers.
    version : str
        Version of its software.
    plan : callable
        Returns the number of events of a request's answer and the seconds
        between them. A third figure makes it a document without a length,
        in blocks of so many bytes.
    """

    def __init__(self, *, name, service, zone, store, plan, version="1"):
        self.name = name
        self.version = version
        self._state = "serving"
        self.service = service
        self.zone = zone
        self._store = store
        self._plan = plan
        self.runs = []
        self._lock = threading.Lock()
        self._is_reachable = threading.Event()
        self._is_reachable.set()
        self._epoch = 0
        self.born = 0
        self._sequence = 0
        self._sockets = {}
        self._paused_until = 0.0
        self._server = http1.Server(self._serve)
        self.address = f"127.0.0.1:{self._server.port}"
        threading.Thread(target=self._beat_forever, daemon=True).start()
        self.start()

    def start(self):
        """Start a process, which knows nothing of earlier ones."""
        self._epoch += 1
        self._is_running = True
        self._server.accept()
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._beat()

    def drain(self):
        """Report that it is leaving; it goes on serving."""
        self._state = "draining"
        self._beat()

    def leave(self):
        """End the process as planned, and remove its entry."""
        self.crash()
        self._store.remove("servers", self.name)

    def pause(self, seconds):
        """Send no events for a while, as during the reading of a prompt."""
        self._paused_until = time.monotonic() + seconds

    def cut_off(self):
        """Drop all that passes between this replica and the daemons."""
        self._is_reachable.clear()

    def heal(self):
        """Connect it again; connections of ended processes are reset."""
        self._is_reachable.set()
        self._reset_old()

    def crash(self):
        """End the process: its connections are reset, new ones refused."""
        self._epoch += 1
        self._is_running = False
        self._server.refuse()
        self._reset_old()

    def _reset_old(self):
        with self._lock:
            old = [
                sock
                for sock, epoch in self._sockets.items()
                if epoch != self._epoch
            ]
            for sock in old:
                del self._sockets[sock]
        for sock in old:
            http1.reset(sock)

    def _wait(self, seconds):
        time.sleep(seconds)
        while (left := self._paused_until - time.monotonic()) > 0:
            time.sleep(left)

    def _is_lost(self, epoch):
        """Return whether a process has ended, waiting for the path to it."""
        while not self._is_reachable.is_set() and self._epoch == epoch:
            time.sleep(0.01)
        return self._epoch != epoch

    def _beat_forever(self):
        while True:
            time.sleep(_HEARTBEAT_SECONDS)
            if self._is_running:
                self._beat()

    def _beat(self):
        self._sequence += 1
        self._store.beat(
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": _SLOTS,
                "state": self._state,
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
                "born": self.born,
                "phase": "prefill_decode",
                "base_models": [
                    {"name": "m", "version": 1, "lora_adapters": []}
                ],
            },
        )

    def _serve(self, sock):
        if not self._is_reachable.is_set():
            # Nothing passes, so the connection hangs.
            self._is_reachable.wait()
            http1.reset(sock)
            return
        epoch = self._epoch
        with self._lock:
            self._sockets[sock] = epoch
        reader = http1.Reader(sock)
        while True:
            request = http1.read_request(reader)
            if self._is_lost(epoch):
                return
            if request is None:
                break
            if not self._answer(sock, request, epoch):
                break
        with self._lock:
            self._sockets.pop(sock, None)
        sock.close()

    def _answer(self, sock, request, epoch):
        """Answer one request; return whether the connection stays open."""
        if request.path == "/v1/report":
            return self._report(sock)
        if request.path in ("/v1/kv-list", "/v1/kv-events"):
            document = {
                "epoch": self.born,
                "next": 0,
                "held": [],
                "lost": False,
                "events": [],
            }
            sock.sendall(
                http1.whole_answer(200, json.dumps(document).encode())
            )
            return True
        attempt = request.header("X-Attempt-Id")
        if request.header("X-Expected-Replica") != self.name:
            sock.sendall(
                http1.whole_answer(421, b"", [("X-Attempt-Id", attempt)])
            )
            return True
        total, pause, *size = self._plan(request)
        if size and not size[0]:
            return self._send_short(sock, request, epoch, pause)
        if size:
            return self._send_document(
                sock, request, epoch, total, pause, size[0]
            )
        run = Run(
            replica=self.name,
            born=self.born,
            attempt=attempt,
            path=request.path,
            total=total,
        )
        self.runs.append(run)
        first = int(request.header("Last-Event-Id") or -1) + 1
        fields = [
            ("Content-Type", "text/event-stream"),
            ("X-Attempt-Id", attempt),
            ("X-Response-Signature", f"{self.name}.{self.born}.{attempt}"),
            ("X-Weight-Versions", "1"),
        ]
        fields.append(("Transfer-Encoding", "chunked"))
        try:
            sock.sendall(http1.head_bytes(200, fields))
            for number in range(first, total):
                self._wait(pause)
                if self._is_lost(epoch):
                    run.end = "lost as its replica crashed"
                    return True
                event = (
                    f"id: {number}\ndata: {self.version} {attempt} {number}"
                    "\n\n"
                ).encode()
                sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
                run.sent += 1
            sock.sendall(b"0\r\n\r\n")
        except OSError:
            run.end = "its caller closed the connection"
            return False
        run.end = "complete"
        return True

    def _send_short(self, sock, request, epoch, seconds):
        """Work for some time, then answer with a short body."""
        attempt = request.header("X-Attempt-Id")
        run = Run(
            replica=self.name,
            born=self.born,
            attempt=attempt,
            path=request.path,
            total=1,
        )
        self.runs.append(run)
        self._wait(seconds)
        if self._is_lost(epoch):
            run.end = "lost as its replica crashed"
            return True
        sock.sendall(
            http1.whole_answer(
                200,
                b"{}",
                [
                    ("X-Attempt-Id", attempt),
                    (
                        "X-Response-Signature",
                        f"{self.name}.{self.born}.{attempt}",
                    ),
                    ("Keep-Alive", "timeout=15"),
                ],
            )
        )
        run.sent = 1
        run.end = "complete"
        return True

    def _send_document(self, sock, request, epoch, total, pause, size):
        """Answer with a document that ends with its connection."""
        attempt = request.header("X-Attempt-Id")
        run = Run(
            replica=self.name,
            born=self.born,
            attempt=attempt,
            path=request.path,
            total=total,
        )
        self.runs.append(run)
        fields = [
            ("Content-Type", "application/octet-stream"),
            ("X-Attempt-Id", attempt),
            ("X-Response-Signature", f"{self.name}.{self.born}.{attempt}"),
            ("Connection", "close"),
        ]
        try:
            sock.sendall(http1.head_bytes(200, fields))
            for number in range(total):
                self._wait(pause)
                if self._is_lost(epoch):
                    run.end = "lost as its replica crashed"
                    return True
                sock.sendall(document_block(number, size))
                run.sent += 1
        except OSError:
            run.end = "its caller closed the connection"
            return False
        run.end = "complete"
        return False

    def _report(self, sock):
        active = sum(run.end == "running" for run in self.runs)
        document = {
            "phase": "prefill_decode",
            "base_models": [{"name": "m", "version": 1, "lora_adapters": []}],
            "busy": False,
            "sequence": 0,
            "queued": 0,
            "active": active,
            "kv_cache_used": 0,
            "kv_cache_total": 444000,
            "sessions": 0,
            "born": self.born,
        }
        sock.sendall(http1.whole_answer(200, json.dumps(document).encode()))
        return True
