"""Access is denied without the peer secret, an API key or a token."""

import socket
import struct
from typing import Iterator

import msgpack
import pytest

from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls
from tests.fleet import fleet_fixtures

pytestmark = pytest.mark.processes
GARBAGE = [
    pytest.param(b"\x00" * 4096, id="zeros"),
    pytest.param(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", id="http"),
    pytest.param(b"\xc1" * 64, id="never-used-byte"),
    pytest.param(b"\xdd\xff\xff\xff\xff" + b"\x90" * 512, id="huge-array"),
    pytest.param(b"\xc6\x7f\xff\xff\xff" + b"x" * 65536, id="huge-binary"),
    pytest.param(b"\x91" * 60000, id="deep-nesting"),
    pytest.param(struct.pack(">I", 2**31) + b"x" * 64, id="huge-length"),
]
INVALID_KEYS = ["", "wrong", "demo-frontdes", "x" * 10000]


def send_to_peer_port(daemon: _fleet.DaemonProcess, data: bytes) -> bytes:
    """Send bytes to the peer port; return all bytes received until close."""
    address = (_fleet.HOST, daemon.peers_port)
    received = b""
    with socket.create_connection(address, timeout=10.0) as sock:
        try:
            sock.sendall(data)
            while block := sock.recv(65536):
                received += block
        except ConnectionError:
            pass
    return received


def check_healthy(fleet: _fleet.Fleet, daemon: _fleet.DaemonProcess) -> None:
    """Check that a daemon serves chats and its counts return to zero."""
    assert fleet_fixtures.chat(daemon).ending is fleet_calls.Ending.WHOLE
    fleet_fixtures.eventually(lambda: fleet_fixtures.is_idle(daemon))
    assert fleet_fixtures.agree_on_owners(fleet.daemons)


class TestPeerPort:
    @pytest.mark.parametrize("data", GARBAGE)
    def test_garbage(self, fleet: _fleet.Fleet, data: bytes) -> None:
        daemon = fleet.daemons[0]
        before = rejected_connections(daemon)
        send_to_peer_port(daemon, data)
        fleet_fixtures.eventually(
            lambda: rejected_connections(daemon) > before
        )
        check_healthy(fleet, daemon)

    def test_hello_without_proof(self, fleet: _fleet.Fleet) -> None:
        """Messages must be rejected until the peer has proven the secret.

        An intruder sends Hello under a daemon's name, followed at once by
        other messages. Accepting Hello as authentication would let them in.
        """
        daemon = fleet.daemons[0]
        hello = {
            "version": 1,
            "daemon": fleet.daemons[1].name,
            "incarnation": 2**50,
            "nonce": "0" * 32,
        }
        release = {"asks": list(range(100))}
        data = msgpack.packb(["Hello", 0, hello])
        data += msgpack.packb(["Proof", 0, {"mac": "0" * 64}])
        data += msgpack.packb(["Release", 0, release])
        before = rejected_connections(daemon)
        received = send_to_peer_port(daemon, data)
        fleet_fixtures.eventually(
            lambda: rejected_connections(daemon) > before
        )
        assert b"Proof" not in received
        check_healthy(fleet, daemon)

    @pytest.fixture
    def foreign_daemon(
        self, fleet: _fleet.Fleet
    ) -> Iterator[_fleet.DaemonProcess]:
        """Start a daemon with a different secret on the same platform."""
        settings = fleet.daemon_settings(90)
        settings["peers"]["secret"] = "not-the-secret-of-this-fleet"
        daemon = fleet.start_daemon(90, settings)
        yield daemon
        daemon.process.kill()
        path = f"/instances/{daemon.name}"
        fleet_calls.send(fleet.platform_url, "DELETE", path)

    def test_daemon_with_the_wrong_secret(
        self, fleet: _fleet.Fleet, foreign_daemon: _fleet.DaemonProcess
    ) -> None:
        """A daemon with a different secret must not own replicas.

        It registers itself in the instance list. It becomes an owner if every
        listed daemon stays a peer whether or not it can authenticate.
        """
        wrong = "wrong proof"
        fleet_fixtures.eventually(
            lambda: any(wrong in d.process.log for d in fleet.daemons)
        )
        fleet_fixtures.eventually(
            lambda: all(
                foreign_daemon.name not in owners(daemon)
                for daemon in fleet.daemons
            )
        )
        check_healthy(fleet, fleet.daemons[0])


class TestCallers:
    @pytest.mark.parametrize("key", INVALID_KEYS)
    def test_invalid_key(self, fleet: _fleet.Fleet, key: str) -> None:
        before = [len(fleet_calls.journal(e)) for e in fleet.engines]
        answer = fleet_fixtures.chat(fleet.daemons[0], key=key)
        assert (answer.status, answer.outcome) == (401, "not-run")
        after = [len(fleet_calls.journal(e)) for e in fleet.engines]
        assert before == after


class TestOperators:
    @pytest.mark.parametrize("token", ["", "wrong", fleet_fixtures.KEY])
    @pytest.mark.parametrize(
        ("method", "path"),
        [
            ("GET", "/v1/teams"),
            ("PUT", "/v1/teams/intruders"),
            ("DELETE", f"/v1/teams/{fleet_fixtures.TEAM}"),
            ("GET", "/v1/export?keys=true"),
            ("GET", "/v1/status"),
        ],
    )
    def test_invalid_token(
        self, fleet: _fleet.Fleet, method: str, path: str, token: str
    ) -> None:
        daemon = fleet.daemons[0]
        answer = fleet_calls.operate(daemon, method, path, {}, token=token)
        assert answer.status == 401


def rejected_connections(daemon: _fleet.DaemonProcess) -> int:
    """Count the log lines about rejected connections from peers."""
    return daemon.process.log.count("warning topazlug.peers connection from")


def owners(daemon: _fleet.DaemonProcess) -> set[str]:
    found = fleet_calls.replicas(daemon).values()
    return {entry["owner"] for entry in found}
