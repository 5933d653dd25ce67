"""A stand-in for the platform's metadata store, with the row calls."""

import base64
import json
import threading
import time
from urllib import parse

from common import http1

_MAX_ROWS = 500


class Store:
    """Keeps rows and their history, and removes entries that lapse.

    Parameters
    ----------
    lapse_seconds : float
        Silence after which a replica's entry is removed: three intervals of
        its heartbeat.
    """

    def __init__(self, *, lapse_seconds):
        self._lapse_seconds = lapse_seconds
        self._lock = threading.Condition()
        self._version = 1
        self._rows = {}
        self._history = []
        self._beat_at = {}
        self._server = http1.Server(self._serve)
        self.address = f"127.0.0.1:{self._server.port}"
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, table, key, document):
        """Write a row as the operator does; return the version."""
        data = json.dumps(document).encode()
        with self._lock:
            self._apply([((table, "", key), data)])
            return self._version

    def beat(self, key, document):
        """Write a replica's entry."""
        with self._lock:
            self._beat_at[key] = time.monotonic()
        self.put("servers", key, document)

    def remove(self, table, key):
        """Remove a row."""
        with self._lock:
            self._beat_at.pop(key, None)
            if (table, "", key) in self._rows:
                self._apply([((table, "", key), None)])

    def _apply(self, changes):
        """Apply changes as one transaction; the lock is held."""
        self._version += 1
        for name, data in changes:
            if data is None:
                self._rows.pop(name, None)
            else:
                self._rows[name] = (data, self._version)
            self._history.append((self._version, name, data))
        self._lock.notify_all()

    def _expire(self):
        while True:
            time.sleep(0.1)
            now = time.monotonic()
            with self._lock:
                late = [
                    key
                    for key, at in self._beat_at.items()
                    if now - at > self._lapse_seconds
                ]
            for key in late:
                self.remove("servers", key)

    def _serve(self, sock):
        reader = http1.Reader(sock)
        while (request := http1.read_request(reader)) is not None:
            status, document = self._answer(request)
            body = json.dumps(document).encode()
            sock.sendall(
                http1.whole_answer(
                    status, body, [("Content-Type", "application/json")]
                )
            )

    def _answer(self, request):
        query = {
            key: values[0]
            for key, values in parse.parse_qs(
                request.query, keep_blank_values=True
            ).items()
        }
        name = (request.method, request.path)
        if name == ("GET", "/v1/rows-get"):
            return self._get(query)
        if name == ("GET", "/v1/rows-feed"):
            return self._feed(query)
        if name == ("GET", "/v1/rows-parts"):
            return self._parts(query)
        if name == ("POST", "/v1/rows-tx"):
            return self._transact(json.loads(request.body))
        return 404, {}

    def _document(self, **fields):
        return 200, {
            "row_version": self._version,
            "current_time_ms": int(time.monotonic() * 1000),
            **fields,
        }

    def _row(self, name, data, version, *, deleted=False):
        table, part, key = name
        row = {
            "table": table,
            "part": part,
            "key": key,
            "row_version": version,
        }
        if deleted:
            return {**row, "deleted": True}
        return {**row, "data": base64.b64encode(data).decode()}

    def _get(self, query):
        limit = min(_MAX_ROWS, int(query.get("max_results", _MAX_ROWS)))
        with self._lock:
            found = sorted(
                (name, row)
                for name, row in self._rows.items()
                if name[0] == query["table"]
                and name[1] == query.get("part", "")
                and name[2] >= query.get("source", "")
                and (not query.get("to") or name[2] < query["to"])
            )
            rows = [
                self._row(name, data, version)
                for name, (data, version) in found[:limit]
            ]
            return self._document(rows=rows, truncated=len(found) > limit)

    def _parts(self, query):
        with self._lock:
            parts = sorted(
                {one[1] for one in self._rows if one[0] == query["table"]}
            )
            return self._document(parts=parts)

    def _feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_time_ms", 0)) / 1000
        with self._lock:
            while True:
                rows = [
                    self._row(name, data, version, deleted=data is None)
                    for version, name, data in self._history
                    if version > after and name[0] == query["table"]
                ]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return self._document(rows=rows)
                self._lock.wait(left)

    def _transact(self, call):
        with self._lock:
            for row in call.get("expected", []):
                name = (row["table"], row.get("part", ""), row["key"])
                current = self._rows.get(name)
                if (current[1] if current else 0) != row["row_version"]:
                    return 412, {"rows": []}
            changes = [
                (
                    (row["table"], row.get("part", ""), row["key"]),
                    base64.b64decode(row["data"]),
                )
                for row in call.get("write", [])
            ]
            changes += [
                ((row["table"], row.get("part", ""), row["key"]), None)
                for row in call.get("remove", [])
            ]
            self._apply(changes)
            return self._document()
