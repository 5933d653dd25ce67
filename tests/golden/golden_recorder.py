"""Recording of callers' calls as text that is the same in each run."""

import http.client
import json
import re
import time
from typing import Any

from bench.fleets import fleet as _fleet

TIMEOUT_SECONDS = 30.0
_REQUEST_ID = re.compile(r"\b[0-9a-f]{32}\b")
_PORT = re.compile(r"127\.0\.0\.1:\d+")
_RUN = re.compile(r'"run": ?(\d+)')
_DATE = re.compile(r"(?m)^(< Date: ).*$")


class Recorder:
    """Makes calls and records their text.

    Parameters
    ----------
    fleet : Fleet
        A fleet that is ready.
    """

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self._fleet = fleet
        self._lines: list[str] = []
        self._replacements: dict[str, str] = {}
        self.replica = ""
        self._runs_before = len(self.journal())

    def journal(self) -> list[dict[str, Any]]:
        """Return the journal of what the plain service ran so far."""
        return json.loads(_fleet.get(f"{self._fleet.services[0].url}/journal"))

    def new_runs(self) -> int:
        """Return the number of requests the service ran in this session."""
        return len(self.journal()) - self._runs_before

    def set_faults(self, replica: str = "", **faults: Any) -> None:
        """Set the faults of one engine, or of all if none is named."""
        for engine in self._fleet.engines:
            if replica in ("", engine.name):
                _fleet.post(f"{engine.url}/faults", faults)

    def set_service_faults(self, **faults: Any) -> None:
        """Set the faults of the plain service."""
        _fleet.post(f"{self._fleet.services[0].url}/faults", faults)

    def add_replacement(self, text: str, replacement: str) -> None:
        """Replace a text that differs between runs in the recorded text."""
        self._replacements[text] = replacement

    def wait_until_stored(
        self, path: str, body: Any, *, key: str, **headers: str
    ) -> None:
        """Wait until the answer to a call with a key has been stored."""
        end = time.monotonic() + TIMEOUT_SECONDS
        unrecorded = Recorder(self._fleet)
        while "idempotency_key_in_use" in unrecorded.call(
            path, body, key=key, **headers
        ):
            assert time.monotonic() < end
            time.sleep(0.02)

    def add_comment(self, text: str) -> None:
        """Add a comment line to the recorded text."""
        self._lines += ["", f"# {text}"]

    def call(
        self,
        path: str,
        body: Any = None,
        *,
        key: str,
        method: str = "",
        daemon: int = 0,
        **headers: str,
    ) -> str:
        """Make a call, record its text and return the answer's body."""
        sent_headers = {"Authorization": f"Bearer {key}"}
        sent_headers |= {
            name.replace("_", "-"): headers[name] for name in headers
        }
        data = body if isinstance(body, str) else json.dumps(body)
        if body is None:
            data = ""
        chosen_method = method or ("POST" if data else "GET")
        chosen_daemon = self._fleet.daemons[daemon]
        self._lines += [
            "",
            f"> {chosen_method} {path}  (to {chosen_daemon.name})",
        ]
        self._lines += [
            f"> {name}: {value}" for name, value in sent_headers.items()
        ]
        self._lines += [">", *_prefix_lines(">", data)] if data else []
        connection = http.client.HTTPConnection(
            "127.0.0.1", chosen_daemon.callers_port, timeout=TIMEOUT_SECONDS
        )
        try:
            connection.request(
                chosen_method, path, body=data or None, headers=sent_headers
            )
            return self._record_answer(connection.getresponse())
        finally:
            connection.close()

    def _record_answer(self, answer: http.client.HTTPResponse) -> str:
        ending_mark = "(ended)"
        try:
            text = answer.read().decode()
        except http.client.IncompleteRead as error:
            text = error.partial.decode()
            ending_mark = "(cut)"
        self.replica = answer.getheader("Topazlug-Replica", "")
        self._lines.append(f"< {answer.status} {answer.reason}")
        self._lines += [
            f"< {name}: {value}" for name, value in answer.getheaders()
        ]
        self._lines += ["<", *_prefix_lines("<", text), f"< {ending_mark}"]
        return text

    def text(self, *, title: str) -> str:
        """Return the text of the session with volatile parts replaced."""
        text = "\n".join([f"# {title}", *self._lines]) + "\n"
        for original, replacement in self._replacements.items():
            text = text.replace(original, replacement)
        text = _DATE.sub(r"\1<date>", text)
        text = _PORT.sub("127.0.0.1:<port>", text)
        text = _RUN.sub(self._relative_run, text)
        return _number_request_ids(text)

    def _relative_run(self, match: re.Match[str]) -> str:
        """Renumber a run of the service relative to the session's start."""
        return f'"run": {int(match[1]) - self._runs_before}'


def _prefix_lines(prefix: str, text: str) -> list[str]:
    return [
        f"{prefix} {line}".rstrip() for line in text.rstrip("\n").split("\n")
    ]


def _number_request_ids(text: str) -> str:
    """Replace each request id by its number in order of appearance."""
    number_by_id: dict[str, int] = {}

    def replacement(match: re.Match[str]) -> str:
        number = number_by_id.setdefault(match[0], len(number_by_id) + 1)
        return f"<request {number}>"

    return _REQUEST_ID.sub(replacement, text)
