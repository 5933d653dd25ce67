"""A model replica as a process of its own.

Each answer is a chunked stream of events. The last event written for each
attempt is kept in a file.
"""

import json
import os
import sys
import time

import harness


class StreamHandler(harness.Handler):
    """Handles the requests of daemons."""

    settings = {}
    ledger = -1

    def _handle(self):
        self.body()
        name = self.settings["name"]
        if self.path == "/health":
            self.answer(200, b"", (("X-Replica-Id", name),))
            return
        if self.path == "/v1/report":
            self.answer_json(200, {"phase": "prefill_decode", "queued": 0})
            return
        if self.path == "/v1/kv-list":
            self.answer_json(200, {"epoch": 1, "next": 1, "held": []})
            return
        if self.headers.get("X-Expected-Replica", name) != name:
            self.answer(421, b"", (("X-Replica-Id", name),))
            return
        self._stream(self.headers.get("X-Attempt-Id", ""))

    def _stream(self, attempt):
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("X-Attempt-Id", attempt)
        self.send_header("X-Response-Signature", harness.SIGNATURE)
        self.send_header("X-Replica-Load", "1,0,64")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, self.settings["events"] + 1):
            self._write_chunk(f"id: {number}\ndata: {attempt} {number}\n\n")
            os.write(self.ledger, f"{attempt} {number}\n".encode())
            time.sleep(self.settings["pause"])
        self._write_chunk("")

    def _write_chunk(self, text):
        self.wfile.write(f"{len(text):x}\r\n{text}\r\n".encode())
        self.wfile.flush()

    do_GET = _handle  # noqa: N815
    do_POST = _handle  # noqa: N815


def main():
    """Serve until the process is ended, or the script has ended."""
    settings = json.loads(sys.argv[1])
    flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
    ledger = os.open(settings["ledger"], flags)
    server = harness.serve(StreamHandler, settings=settings, ledger=ledger)
    print(server.server_address[1], flush=True)
    parent = os.getppid()
    while os.getppid() == parent:
        time.sleep(0.5)


if __name__ == "__main__":
    main()
