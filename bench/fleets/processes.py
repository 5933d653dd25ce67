"""Starting, pausing and ending child processes of this program."""

import fcntl
import itertools
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import final

_MIN_PORT = 10000
_MAX_PORT = 32000
_PORTS = itertools.cycle(
    random.sample(range(_MIN_PORT, _MAX_PORT), _MAX_PORT - _MIN_PORT)
)
# Holds a lock file for each port that one of our processes has handed out; it
# stays locked while that process runs.
_LOCK_FOLDER = pathlib.Path(tempfile.gettempdir()) / "topazlug-ports"
_LOCK_DESCRIPTORS: list[int] = []


class NotReady(RuntimeError):
    """A process was not ready in time."""


def free_port() -> int:
    """Return a port on loopback that no process listens on.

    The ports lie below the kernel's ephemeral range. The kernel may assign a
    port of that range to some connection before the daemon binds it, so that
    in a large fleet a daemon fails to start now and then.

    No port is handed out twice, also across processes. A port is bound only
    when its daemon has started, half a second later. When three fleets with
    fifty ports each start together, without locks two of them would share a
    port about a third of the time, and one would never get ready.
    """
    while True:
        port = next(_PORTS)
        if not _try_claim(port):
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def _try_claim(port: int) -> bool:
    """Try to claim a port for this process; return whether it succeeded."""
    _LOCK_FOLDER.mkdir(exist_ok=True)
    lock = os.open(
        _LOCK_FOLDER / str(port), os.O_CREAT | os.O_RDWR | os.O_CLOEXEC
    )
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return False
    _LOCK_DESCRIPTORS.append(lock)
    return True


@final
class Process:
    """A Python child process.

    Parameters
    ----------
    name : str
        Name in messages, and of its log file.
    arguments : list of str
        Arguments of the interpreter.
    folder : pathlib.Path
        Directory of its log file.
    environment : dict or None
        Variables in addition to those of this process.
    """

    def __init__(
        self,
        *,
        name: str,
        arguments: list[str],
        folder: pathlib.Path,
        environment: dict[str, str] | None = None,
    ) -> None:
        self.environment = environment or {}
        self.name = name
        self._arguments = arguments
        self._log_path = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        if self._process is None:
            raise NotReady(f"{self.name} has not been started")
        return self._process.pid

    @property
    def log(self) -> str:
        """Return the output so far."""
        return self._log_path.read_text(errors="replace")

    def start(self) -> None:
        """Start the process with its output appended to its log file."""
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *self._arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **self.environment},
                # Ctrl-C in a terminal signals a whole process group. The
                # platform would exit before the daemons, which need it to
                # leave the list. So the parent ends each process itself.
                process_group=0,
            )

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.is_running():
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process, as a failing instance would end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        self.wait(10.0)

    def freeze(self) -> None:
        """Suspend the process."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process after `freeze`."""
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop."""
        self.send(signal.SIGTERM)

    def wait(self, seconds: float) -> int | None:
        """Wait for the process to exit; return its code, None if it runs."""
        if self._process is None:
            return None
        try:
            return self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def wait_for_line(self, text: str, *, seconds: float = 30.0) -> str:
        """Wait until the log has a line with a text; return the line."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for line in self.log.splitlines() if self._has_log() else []:
                if text in line:
                    return line
            if not self.is_running():
                break
            time.sleep(0.02)
        raise NotReady(
            f"{self.name} never logged {text!r}: {self.log[-2000:]}"
        )

    def _has_log(self) -> bool:
        return self._log_path.exists()
