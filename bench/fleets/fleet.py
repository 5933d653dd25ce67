"""A complete deployment as processes on loopback."""

import functools
import json
import pathlib
import shutil
import tempfile
import time
from typing import Any
from typing import Callable
from typing import Sequence
from typing import final
import urllib.error
import urllib.request

import yaml

from bench.fleets import deployment as _deployment
from bench.fleets import group_links
from bench.fleets import processes
from topazlug import _clock
from topazlug.administration import _tokens
from topazlug.configuration import _configuration
from topazlug.configuration import _edit_plan
from topazlug.configuration import _table_edits
from topazlug.configuration import _table_snapshot
from topazlug.configuration import _table_storage
from topazlug.store import _table_client

HOST = "127.0.0.1"
_SECRET = "demo-peer-secret-of-the-fleet"


class _StoreReader:
    """Stands in for the daemon's follower while the table is seeded."""

    def __init__(
        self,
        store: _table_client.TableStore,
        holder: _configuration.ConfigurationHolder,
    ) -> None:
        self._store = store
        self._holder = holder

    def publish(self, changes: object) -> None:
        return

    def catch_up(self) -> None:
        meta, rows = _table_storage.read_full_table(self._store)
        self._holder.apply_full_table(revision=meta.revision, rows=rows)


@final
class DaemonProcess:
    """One daemon and its addresses."""

    def __init__(
        self, *, process: processes.Process, settings: dict[str, Any]
    ) -> None:
        self.process = process
        self.settings = settings
        listen = settings["listen"]
        self.callers_port: int = listen["callers"]["port"]
        self.peers_port: int = listen["peers"]["port"]
        self.administration_port: int = listen["administration"]["port"]

    @property
    def name(self) -> str:
        """Return the daemon's id."""
        name: str = self.settings["daemon"]["id"]
        return name

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f"http://{HOST}:{self.callers_port}"

    @property
    def administration_url(self) -> str:
        """Return the URL of the administration."""
        return f"http://{HOST}:{self.administration_port}"


@final
class TargetProcess:
    """One stand-in engine or service and its address."""

    def __init__(self, *, name: str, process: processes.Process) -> None:
        self.name = name
        self.process = process

    @functools.cached_property
    def port(self) -> int:
        """Return the port, waiting until the process listens."""
        return _read_port(self.process)

    @property
    def url(self) -> str:
        """Return the URL of the target."""
        return f"http://{HOST}:{self.port}"


@final
class Fleet:
    """All processes of a deployment.

    Parameters
    ----------
    deployment : Deployment
        The deployment to start.
    daemons : int or None
        Number of daemons, where it differs from the deployment's.
    groups : sequence of sequence of int
        Numbers of daemons in groups whose links can be cut.
    """

    def __init__(
        self,
        deployment: _deployment.Deployment,
        *,
        daemons: int | None = None,
        groups: Sequence[Sequence[int]] = (),
    ) -> None:
        self.deployment = deployment
        self._daemon_count = daemons or deployment.daemons
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="topazlug-"))
        self.platform_port = 0
        self._processes: list[processes.Process] = []
        self.platform: processes.Process | None = None
        self.daemons: list[DaemonProcess] = []
        self.engines: list[TargetProcess] = []
        self.services: list[TargetProcess] = []
        self._links = group_links.GroupLinks(groups) if groups else None

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    @property
    def platform_url(self) -> str:
        """Return the platform's URL."""
        return f"http://{HOST}:{self.platform_port}"

    def start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        self._start_platform()
        for pool in self.deployment.pools:
            for number in range(pool.replicas):
                self.engines.append(self.start_engine(pool, number))
        for service in self.deployment.services:
            for number in range(service.replicas):
                self.services.append(self._start_service(service, number))
        self._start_daemons()
        self.seed()
        for target in self.engines + self.services:
            target.port
        self.wait_ready()

    def _start_process(
        self, name: str, arguments: list[str]
    ) -> processes.Process:
        process = processes.Process(
            name=name, arguments=arguments, folder=self.folder
        )
        process.start()
        # Tests remove daemons from the list or start others. All processes
        # started here must end with the fleet nevertheless.
        self._processes.append(process)
        return process

    def _start_platform(self) -> None:
        self.platform = self._start_process(
            "platform",
            [
                "-m",
                "standins",
                "platform",
                "--port",
                "0",
                "--list-lag",
                str(self.deployment.list_lag),
            ],
        )
        self.platform_port = _read_port(self.platform)

    def _zone(self, number: int) -> str:
        zones = self.deployment.zones
        return zones[number % len(zones)]

    def start_engine(
        self, pool: _deployment.Pool, number: int
    ) -> TargetProcess:
        """Start one engine of a pool; its port is known once it listens."""
        name = f"{pool.name}-{number}"
        engine = self.deployment.engine
        options = {
            "--id": name,
            "--pool": pool.name,
            "--port": "0",
            "--zone": self._zone(number),
            "--region": self.deployment.region,
            "--platform": f"{HOST}:{self.platform_port}",
            "--slots": str(pool.slots),
            "--token-interval": str(engine.token_interval),
            "--token-interval-per-running": str(
                engine.token_interval_per_running
            ),
            "--prefill-tokens-per-second": str(
                engine.prefill_tokens_per_second
            ),
            "--prefix-cache-tokens": str(engine.prefix_cache_tokens),
            "--load-lag": str(engine.load_lag),
        }
        process = self._start_process(
            name, _stand_in_arguments("engine", options)
        )
        return TargetProcess(name=name, process=process)

    def _start_service(
        self, service: _deployment.Service, number: int
    ) -> TargetProcess:
        name = f"{service.name}-{number}"
        options = {
            "--id": name,
            "--service": service.name,
            "--port": "0",
            "--zone": self._zone(number),
            "--region": self.deployment.region,
            "--platform": f"{HOST}:{self.platform_port}",
            "--slots": str(service.slots),
        }
        process = self._start_process(
            name, _stand_in_arguments("service", options)
        )
        return TargetProcess(name=name, process=process)

    def _start_daemons(self) -> None:
        settings_by_number = {
            number: self.daemon_settings(number)
            for number in range(self._daemon_count)
        }
        if self._links is not None:
            self._links.start(
                settings_by_number=settings_by_number,
                folder=self.folder,
                start=self._start_process,
            )
        for number, settings in settings_by_number.items():
            self.daemons.append(self.start_daemon(number, settings))

    def start_daemon(
        self, number: int, settings: dict[str, Any] | None = None
    ) -> DaemonProcess:
        """Start one daemon, with the default settings if none are given."""
        settings = settings or self.daemon_settings(number)
        name = settings["daemon"]["id"]
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        command = ["-m", "topazlug._daemon_command"]
        if self._links is not None:
            command = self._links.command(number)
        process = self._start_process(
            name, [*command, "--settings", str(path)]
        )
        return DaemonProcess(process=process, settings=settings)

    def switch_links(self, **faults: object) -> None:
        """Set the faults of all links between the groups."""
        for url in self._links.control_urls if self._links else ():
            post(f"{url}/faults", faults)

    def daemon_settings(self, number: int) -> dict[str, Any]:
        """Return the default settings of a daemon."""
        platform = {"host": HOST, "port": self.platform_port}
        listen = {
            name: {"host": HOST, "port": processes.free_port()}
            for name in ("callers", "peers", "administration")
        }
        settings: dict[str, Any] = {
            "daemon": {
                "id": f"daemon-{number}",
                "zone": self._zone(number),
                "region": self.deployment.region,
            },
            "listen": listen,
            "platform": {
                "tables": platform,
                "objects": platform,
                "instances": platform,
            },
            "peers": {"secret": _SECRET},
            "logs": {"format": "text", "level": "info"},
        }
        for section, values in self.deployment.settings.items():
            settings.setdefault(section, {}).update(values)
        return settings

    def seed(self) -> None:
        """Write the deployment's rows to the table."""
        clock = _clock.SystemClock()
        holder = _configuration.ConfigurationHolder()
        store = _table_client.TableClient(
            host=HOST, port=self.platform_port, timeout=5.0, clock=clock
        )
        editor = _table_edits.TableEditor(
            store=store,
            holder=holder,
            publisher=_StoreReader(store, holder),
            clock=clock,
        )
        edits = [
            _edit_plan.RowEdit(
                table=_table_snapshot.TableName(table),
                key=row["name"],
                value=row,
                force=True,
            )
            for table, rows in _deployment.rows(self.deployment).items()
            for row in rows
        ]
        stamp = _edit_plan.Stamp(
            who="seed", why="first table", edit_id=_tokens.new_edit_id()
        )
        editor.edit(edits, stamp=stamp)

    def wait_ready(self, *, seconds: float = 40.0) -> None:
        """Wait until each daemon serves and sees all others."""
        end = time.monotonic() + seconds
        for daemon in self.daemons:
            _wait_until(
                lambda: self._is_serving(daemon),
                end,
                daemon.process,
            )

    def _is_serving(self, daemon: DaemonProcess) -> bool:
        """Return whether a daemon reports all daemons and targets.

        Raises
        ------
        NotReady
            If any daemon has exited, as then no daemon can report them all.
            The error shows the log of that daemon rather than a time-out of
            another one.
        """
        for one in self.daemons:
            if not one.process.is_running():
                raise processes.NotReady(
                    f"{one.process.name} exited: {one.process.log[-3000:]}"
                )
        return _is_serving(
            daemon,
            daemons=len(self.daemons),
            targets=len(self.engines) + len(self.services),
        )

    def stop(self) -> None:
        """End everything that this fleet started."""
        started = list(self._processes)
        if self._links is not None:
            started += self._links.relay_processes
        for process in started:
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def _stand_in_arguments(kind: str, options: dict[str, str]) -> list[str]:
    arguments = ["-m", "standins", kind]
    for name, value in options.items():
        arguments += [name, value]
    return arguments


def _read_port(process: processes.Process) -> int:
    return int(process.wait_for_line("READY").split()[1])


def _wait_until(
    condition: Callable[[], bool], end: float, process: processes.Process
) -> None:
    while not condition():
        if time.monotonic() > end:
            raise processes.NotReady(
                f"{process.name} is not ready: {process.log[-3000:]}"
            )
        time.sleep(0.05)


def _is_serving(daemon: DaemonProcess, *, daemons: int, targets: int) -> bool:
    try:
        text = get(f"{daemon.administration_url}/metrics").decode()
    except OSError:
        return False
    expected = [
        f"topazlug_members {daemons}.0",
        f"topazlug_replicas_known {targets}.0",
    ]
    return all(line in text.splitlines() for line in expected)


def get(url: str, *, timeout: float = 5.0) -> bytes:
    """Fetch a document."""
    with urllib.request.urlopen(url, timeout=timeout) as answer:
        body: bytes = answer.read()
        return body


def post(url: str, document: object, *, timeout: float = 5.0) -> bytes:
    """Send a JSON document."""
    request = urllib.request.Request(
        url,
        data=json.dumps(document).encode(),
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        body: bytes = answer.read()
        return body
