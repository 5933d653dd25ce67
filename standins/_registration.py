"""Keeps a stand-in on the platform's list of instances."""

import json
from typing import Any
from typing import final
from urllib import parse

import gevent
import geventhttpclient

RENEWAL_SECONDS = 2.0
RETRY_SECONDS = 0.2
TIMEOUT_SECONDS = 3.0


@final
class Registration:
    """One instance's place on the list.

    Parameters
    ----------
    platform
        ``host:port`` of the platform; empty to stay off any list.
    instance
        The object as the list shows it.
    """

    def __init__(self, *, platform: str, instance: dict[str, Any]) -> None:
        self.instance = instance
        self._platform = platform
        self._path = "/instances/" + parse.quote(instance["id"], safe="")
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Put the instance on the list and keep it there."""
        if self._platform:
            self._greenlet = gevent.spawn(self._keep)

    def leave(self) -> None:
        """Show the instance as leaving."""
        self.instance["state"] = "leaving"
        if self._greenlet is not None:
            self._greenlet.kill()
            self.start()

    def stop(self) -> None:
        """Take the instance off the list, in one attempt."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._sent("DELETE")

    def _keep(self) -> None:
        while True:
            done = self._sent("PUT")
            gevent.sleep(RENEWAL_SECONDS if done else RETRY_SECONDS)

    def _sent(self, method: str) -> bool:
        host, _, port = self._platform.rpartition(":")
        client = geventhttpclient.HTTPClient(
            host,
            int(port),
            connection_timeout=TIMEOUT_SECONDS,
            network_timeout=TIMEOUT_SECONDS,
        )
        try:
            body = json.dumps(self.instance) if method == "PUT" else ""
            answer = client.request(method, self._path, body=body)
            answer.read()
            return int(answer.status_code) < 300
        except (OSError, geventhttpclient.response.HTTPParseError):
            return False
        finally:
            client.close()
