"""A stand-in for the platform's metadata store, with fault injection."""

import base64
from collections.abc import Callable
import enum
import functools
import json
import time
from typing import Any

import gevent
from gevent import event

from standins import _http

EXPIRY_SECONDS = 1.2
MapEntry = Callable[[bytes], bytes]


class Mode(enum.Enum):
    """How the store responds to daemons."""

    NORMAL = "normal"
    SILENT = "silent"
    BUSY = "busy"
    RESET = "reset"


class StoreStandIn:
    """Serves rows, their feed, transactions, and heartbeats of replicas.

    Attributes
    ----------
    mode : Mode
        How daemons are answered. Replicas and the operator are always
        answered normally.
    changes : list of (float, Mode)
        Time of each change of the mode, and the new mode.
    url : str
        Base URL of its listener.
    """

    def __init__(self) -> None:
        self.mode = Mode.NORMAL
        self.changes: list[tuple[float, Mode]] = []
        self._version = 1
        self._oldest_version = 0
        self._log: list[tuple[int, str, str, str | None]] = []
        self._rows: dict[tuple[str, str], tuple[str, int]] = {}
        self._heartbeat_times: dict[str, float] = {}
        self._changed = event.Event()
        self._server = _http.server(self._answer, 0)
        self.port = int(self._server.server_port)
        self.url = f"http://127.0.0.1:{self.port}"
        self._views: list[Any] = []
        self._expirer = gevent.spawn(self._expire_entries)

    def add_view(self, map_entry: MapEntry) -> int:
        """Listen at one more port, whose clients see other entries.

        Parameters
        ----------
        map_entry : callable
            Returns the entry of a replica as these clients see it.

        Returns
        -------
        int
            The port.
        """
        answer = functools.partial(self._answer, map_entry=map_entry)
        self._views.append(_http.server(answer, 0))
        return int(self._views[-1].server_port)

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row, as the operator or a replica does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        current = self._rows.get((table, key))
        if current is None or current[0] != data:
            self._write([(table, key, data)])

    def remove(self, table: str, key: str) -> None:
        """Remove a row, as the operator does."""
        self._write([(table, key, None)])

    def drop_history(self) -> None:
        """Drop the history, so that lagging feeds must read whole tables."""
        self._oldest_version = self._version

    def set_mode(self, mode: Mode) -> None:
        """Change how the store responds to daemons."""
        self.mode = mode
        self.changes.append((time.monotonic(), mode))
        self._wake()

    def stop(self) -> None:
        """Close the listener."""
        self._expirer.kill()
        for server in [self._server, *self._views]:
            server.stop(timeout=0)

    def _write(self, rows: list[tuple[str, str, str | None]]) -> None:
        self._version += 1
        for table, key, data in rows:
            self._log.append((self._version, table, key, data))
            if data is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (data, self._version)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _expire_entries(self) -> None:
        while True:
            gevent.sleep(EXPIRY_SECONDS / 4)
            now = time.monotonic()
            for key, at in list(self._heartbeat_times.items()):
                if now - at > EXPIRY_SECONDS:
                    del self._heartbeat_times[key]
                    self._write([("servers", key, None)])

    def _answer(
        self, request: _http.Request, map_entry: MapEntry | None = None
    ) -> _http.Answer:
        if request.path == "/soak/beat":
            beat = _http.parse_json_body(request)
            self._heartbeat_times[beat["key"]] = time.monotonic()
            self.put("servers", beat["key"], beat["entry"])
            return _http.json_answer(200, {})
        if self.mode is Mode.SILENT:
            # A call made in this mode isn't answered after it either.
            while not request.client_closed():
                gevent.sleep(0.05)
            raise _http.ConnectionCut()
        if self.mode is Mode.RESET:
            raise _http.ConnectionCut()
        if self.mode is Mode.BUSY:
            return _http.json_answer(503, {})
        return self._serve(request, map_entry)

    def _serve(
        self, request: _http.Request, map_entry: MapEntry | None
    ) -> _http.Answer:
        if request.path == "/v1/rows-get":
            table = request.query["table"]
            rows = [
                {"key": key, "data": data, "row_version": version}
                for (name, key), (data, version) in sorted(self._rows.items())
                if name == table and key >= request.query.get("source", "")
            ]
            return self._rows_answer(table, rows, map_entry)
        if request.path == "/v1/rows-feed":
            return self._feed(request, map_entry)
        if request.path == "/v1/rows-tx":
            return self._transaction(_http.parse_json_body(request))
        return _http.json_answer(404, {})

    def _rows_answer(
        self,
        table: str,
        rows: list[dict[str, Any]],
        map_entry: MapEntry | None,
    ) -> _http.Answer:
        if table == "servers" and map_entry is not None:
            for row in rows:
                if row["data"]:
                    entry = map_entry(base64.b64decode(row["data"]))
                    row["data"] = base64.b64encode(entry).decode()
        return _http.json_answer(
            200, {"rows": rows, "row_version": self._version}
        )

    def _feed(
        self, request: _http.Request, map_entry: MapEntry | None
    ) -> _http.Answer:
        table = request.query["table"]
        after = int(request.query["after"])
        end = time.monotonic() + int(request.query["wait_time_ms"]) / 1000
        while True:
            if after < self._oldest_version:
                return _http.json_answer(410, {})
            rows = [
                {"key": key, "data": data or "", "deleted": data is None}
                for version, name, key, data in self._log
                if name == table and version > after
            ]
            remaining = end - time.monotonic()
            if rows or remaining <= 0 or self.mode is not Mode.NORMAL:
                return self._rows_answer(table, rows, map_entry)
            self._changed.wait(remaining)

    def _transaction(self, transaction: dict[str, Any]) -> _http.Answer:
        for row in transaction["expected"]:
            current = self._rows.get((row["table"], row["key"]))
            if (current[1] if current else 0) != row["row_version"]:
                return _http.json_answer(412, {"rows": []})
        rows = [
            (row["table"], row["key"], row["data"])
            for row in transaction["write"]
        ]
        rows += [
            (row["table"], row["key"], None) for row in transaction["remove"]
        ]
        self._write(rows)
        return _http.json_answer(200, {"row_version": self._version})
