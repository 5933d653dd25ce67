"""An administration application for a node of `table_fakes`."""

import io
import json
from typing import Any

from tests.topazlug import table_fakes
from tests.topazlug.crashes import crash_fixtures
from topazlug import _errors
from topazlug.administration import _administration
from topazlug.administration import _administration_blocked
from topazlug.administration import _administration_status
from topazlug.administration import _tokens
from topazlug.crashes import _crash_records

BOOTSTRAP = "bootstrap-token"


class FakeStatus:
    """The state of a fleet of the node, another daemon and a dead one."""

    def __init__(self, node: table_fakes.Node) -> None:
        self._node = node
        self.other_revision = 10**6

    def status(self) -> _administration_status.FleetStatus:
        status_types = _administration_status
        revision = self._node.holder.revision
        return status_types.FleetStatus(
            daemon=self._node.id,
            revision=revision,
            daemons=[
                status_types.DaemonStatus(id=self._node.id, revision=revision),
                status_types.DaemonStatus(
                    id="other", revision=min(revision, self.other_revision)
                ),
                status_types.DaemonStatus(id="gone", state="dead", revision=0),
            ],
            replicas=[
                status_types.ReplicaStatus(id="r1", group="p", load=3, bound=4)
            ],
            teams=[status_types.TeamStatus(name="acme", running=2)],
        )

    def explain(
        self, *, chat: str, pool: str
    ) -> _administration_status.Explanation:
        if pool != "p":
            raise _errors.UnknownModel(f"no pool {pool!r}")
        status_types = _administration_status
        first = status_types.Candidate(
            rank=0, replica="r1", verdict="over_bound"
        )
        return status_types.Explanation(
            group=pool, chat=chat, chosen="r2", candidates=[first]
        )


def application(
    node: table_fakes.Node,
    store: Any,
    *,
    status: FakeStatus | None = None,
    ready: bool = True,
    guard: Any = None,
) -> _administration.Administration:
    """Return the administration application of a node."""
    administration = _administration.Administration(
        holder=node.holder,
        editor=node.editor,
        publisher=node.follower,
        store=store,
        status=status or FakeStatus(node),
        is_ready=lambda: ready,
        exposition=lambda: b"up 1\n",
        bootstrap_token_hash=_tokens.hash_of(BOOTSTRAP),
    )
    blocked = _administration_blocked.BlockedResource(
        guard=guard or FakeCrashGuard()
    )
    administration.add(blocked.routes())
    return administration


class FakeCrashGuard:
    """A crash guard that blocks one request until it is released."""

    def __init__(self) -> None:
        self._blocks = [crash_fixtures.block("f1", "i-1@1", "i-2@1")]

    def blocks(self) -> list[_crash_records.Block]:
        return list(self._blocks)

    def release(self, fingerprint: str) -> _crash_records.Block | None:
        for block in self._blocks:
            if block.fingerprint == fingerprint:
                self._blocks.remove(block)
                return block
        return None


class Answer:
    """The answer to a call of the application."""

    def __init__(self, status: str, headers: Any, body: bytes) -> None:
        self.status = int(status.split()[0])
        self.header_by_name = dict(headers)
        self.text = body.decode()

    @property
    def body(self) -> Any:
        return json.loads(self.text)

    @property
    def code(self) -> str:
        code: str = self.body["error"]["code"]
        return code


class Caller:
    """Calls an application as an operator would."""

    def __init__(self, app: Any, token: str = BOOTSTRAP) -> None:
        self._app = app
        self.token = token

    def __call__(
        self, method: str, target: str, body: Any = None, **headers: str
    ) -> Answer:
        path, _, query = target.partition("?")
        content = b"" if body is None else json.dumps(body).encode()
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "CONTENT_LENGTH": str(len(content)),
            "wsgi.input": io.BytesIO(content),
            "HTTP_AUTHORIZATION": f"Bearer {self.token}",
            **{f"HTTP_{name.upper()}": v for name, v in headers.items()},
        }
        started: list[Any] = []
        chunks = self._app(environ, lambda *args: started.extend(args))
        return Answer(started[0], started[1], b"".join(chunks))
