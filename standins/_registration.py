"""Registration of a stand-in on the platform's instance list."""

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
    """One instance's entry on the list, renewed periodically.

    Parameters
    ----------
    platform
        ``host:port`` of the platform; empty for no registration.
    instance
        The entry as sent to the platform.
    """

    def __init__(self, *, platform: str, instance: dict[str, Any]) -> None:
        self.instance = instance
        self._platform = platform
        self._path = "/instances/" + parse.quote(instance["id"], safe="")
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Add the instance to the list and renew its entry."""
        if self._platform:
            self._greenlet = gevent.spawn(self._renew_forever)

    def leave(self) -> None:
        """Set the state of the entry to leaving."""
        self.instance["state"] = "leaving"
        if self._greenlet is not None:
            self._greenlet.kill()
            self.start()

    def stop(self) -> None:
        """Remove the entry from the list, in a single attempt."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._send("DELETE")

    def _renew_forever(self) -> None:
        while True:
            done = self._send("PUT")
            gevent.sleep(RENEWAL_SECONDS if done else RETRY_SECONDS)

    def _send(self, method: str) -> bool:
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
