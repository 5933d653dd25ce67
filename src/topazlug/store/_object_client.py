"""Client of the platform's object store."""

from http import HTTPStatus
from typing import Protocol
from typing import final
from urllib import parse

from topazlug import _clock
from topazlug import _errors
from topazlug.store import _platform_http

_REJECTED = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
_CONTENT_TYPE = "application/octet-stream"


class ObjectStore(Protocol):
    """Operations of the object store."""

    def put(self, key: str, data: bytes) -> None:
        """Store `data` under `key`.

        Raises
        ------
        StoreUnavailable
            Nothing was stored.
        StoreAmbiguous
            The object may have been stored.
        """

    def get(self, key: str) -> bytes | None:
        """Return the object stored under `key`, or None.

        Raises
        ------
        StoreUnavailable
            The object could not be read.
        """


@final
class ObjectClient:
    """Object store over HTTP.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    timeout : float
        Maximum duration of one exchange, in seconds.
    clock : Clock
        Source of wall time, for dates in ``Retry-After``.
    """

    def __init__(
        self, *, host: str, port: int, timeout: float, clock: _clock.Clock
    ) -> None:
        self._http = _platform_http.PlatformHttp(
            host=host, port=port, timeout=timeout, clock=clock
        )

    def put(self, key: str, data: bytes) -> None:
        """Store `data` under `key`; see `ObjectStore.put`."""
        answer = self._http.call(
            "PUT", _target(key), body=data, content_type=_CONTENT_TYPE
        )
        if answer.status in _REJECTED:
            raise _platform_http.unavailable(answer)
        if answer.status not in (HTTPStatus.OK, HTTPStatus.NO_CONTENT):
            raise _errors.StoreAmbiguous(
                f"object store answered {answer.status} to a write of {key}"
            )

    def get(self, key: str) -> bytes | None:
        """Return the object stored under `key`; see `ObjectStore.get`."""
        try:
            answer = self._http.call("GET", _target(key))
        except _errors.StoreAmbiguous as error:
            raise _errors.StoreUnavailable(
                error.message,
                retry_after=_platform_http.DEFAULT_RETRY_AFTER,
            ) from error
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        if answer.status != HTTPStatus.OK:
            raise _platform_http.unavailable(answer)
        return answer.body

    def close(self) -> None:
        """Close the idle connections; later calls fail."""
        self._http.close()


def _target(key: str) -> str:
    return "/objects/" + parse.quote(key, safe="")
