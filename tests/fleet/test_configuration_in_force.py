"""An accepted configuration takes effect on all daemons and is kept."""

from collections.abc import Callable
from typing import Any
from typing import Iterator

import pytest

from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls
from tests.fleet import fleet_fixtures

pytestmark = pytest.mark.processes
FLAPS = 6


def put_team(
    daemon: _fleet.DaemonProcess,
    name: str,
    *,
    weight: float,
    headers: dict[str, str] | None = None,
    force: bool = False,
) -> fleet_calls.Answer:
    """Edit a team's row."""
    path = f"/v1/teams/{name}" + ("?force=true" if force else "")
    row = {"weight": weight}
    return fleet_calls.operate(daemon, "PUT", path, row, headers=headers)


def get_weight(daemon: _fleet.DaemonProcess, name: str) -> float | None:
    """Return a team's weight on a daemon, None if it lacks the row."""
    answer = fleet_calls.operate(daemon, "GET", f"/v1/teams/{name}")
    if answer.status != 200:
        return None
    weight: float = answer.document["row"]["weight"]
    return weight


def get_revision(daemon: _fleet.DaemonProcess) -> int:
    """Return the revision of a daemon's configuration."""
    answer = fleet_calls.operate(daemon, "GET", "/v1/config/status")
    revision: int = answer.document["revision"]
    return revision


def wait_for_weight(
    daemons: list[_fleet.DaemonProcess], name: str, weight: float
) -> None:
    """Wait until all daemons have a team's weight."""
    fleet_fixtures.eventually(
        lambda: all(get_weight(d, name) == weight for d in daemons)
    )


@pytest.fixture
def team() -> str:
    return fleet_fixtures.new_key()


class TestAcceptedEdit:
    def test_in_force_on_all_daemons_while_the_store_flaps(
        self, large_fleet: _fleet.Fleet, team: str
    ) -> None:
        """An accepted edit must reach all daemons while the store flaps.

        It reached only some of them if daemons received edits from the store
        alone, or treated a failed read as an empty table.
        """
        assert put_team(large_fleet.daemons[0], team, weight=2).status == 201
        revisions = []
        for flap in range(FLAPS):
            fleet_calls.set_faults(
                large_fleet.platform_url, down=flap % 2 == 0
            )
            wait_for_weight(large_fleet.daemons, team, 2)
            revisions.append(
                [get_revision(daemon) for daemon in large_fleet.daemons]
            )
        assert all(
            before <= after for before, after in zip(revisions, revisions[1:])
        )

    def test_reaches_all_daemons_while_the_store_is_down(
        self, large_fleet: _fleet.Fleet, team: str
    ) -> None:
        assert put_team(large_fleet.daemons[0], team, weight=2).status == 201
        with fleet_fixtures.faults(large_fleet.platform_url, down=True):
            wait_for_weight(large_fleet.daemons, team, 2)

    def test_survives_reads_of_an_older_revision(
        self, large_fleet: _fleet.Fleet, team: str
    ) -> None:
        """A read of an older revision must not revert an accepted edit.

        A lagging replica of the store answers reads with the rows of earlier
        revisions. The edit is lost if the latest read always wins.
        """
        for weight in (2, 3, 4):
            answer = put_team(
                large_fleet.daemons[0], team, weight=weight, force=True
            )
            assert answer.status in (200, 201)
        wait_for_weight(large_fleet.daemons, team, 4)
        before = [get_revision(daemon) for daemon in large_fleet.daemons]
        with fleet_fixtures.faults(
            large_fleet.platform_url, stale_revision_lag=2
        ):
            wait_for_reads(large_fleet, 2 * len(large_fleet.daemons))
            for daemon in large_fleet.daemons:
                path = f"/v1/teams/{team}?fresh=true"
                answer = fleet_calls.operate(daemon, "GET", path)
                assert answer.document["row"]["weight"] == 4
            assert [get_revision(d) for d in large_fleet.daemons] == before

    def test_concurrent_edits_of_one_row_conflict(
        self, large_fleet: _fleet.Fleet, team: str
    ) -> None:
        """Of two concurrent edits of a row, one must be rejected.

        Two operators read the same row and send different changes to
        different daemons. If the later write wins, the first operator's edit
        is lost without an error.
        """
        etag = put_team(large_fleet.daemons[0], team, weight=2).headers["etag"]
        wait_for_weight(large_fleet.daemons, team, 2)
        headers = {"If-Match": etag}
        answers = fleet_fixtures.run_concurrently(
            [
                edit_call(daemon, team, weight=3 + index, headers=headers)
                for index, daemon in enumerate(large_fleet.daemons[:2])
            ]
        )
        assert sorted(answer.status for answer in answers) == [200, 409]
        loser = next(a for a in answers if a.status == 409)
        winner = next(a for a in answers if a.status == 200)
        winning_weight = winner.document["row"]["weight"]
        assert loser.document["error"]["current"]["weight"] == winning_weight
        wait_for_weight(large_fleet.daemons, team, winning_weight)

    def test_store_response_lost_after_the_edit_was_committed(
        self, large_fleet: _fleet.Fleet, team: str
    ) -> None:
        """A repeated edit must be recognized after its response was lost.

        The store commits the edit, its response is lost, and the operator
        sends the edit again. If the repeat counts as another edit, it is
        rejected as a conflict or applied twice.
        """
        before = get_revision(large_fleet.daemons[0])
        fleet_calls.set_faults(large_fleet.platform_url, lose_answers=1)
        headers = {"X-Edit-Id": f"edit-{team}-of-this-test"}
        answers = [
            put_team(daemon, team, weight=2, headers=headers)
            for daemon in large_fleet.daemons[:2]
        ]
        fleet_calls.set_faults(large_fleet.platform_url, lose_answers=0)
        assert answers[0].status in (201, 503)
        assert answers[1].status in (200, 201)
        wait_for_weight(large_fleet.daemons, team, 2)
        assert get_revision(large_fleet.daemons[0]) == before + 1


class TestRevokedKey:
    def test_refused_everywhere(self, large_fleet: _fleet.Fleet) -> None:
        daemon = large_fleet.daemons[0]
        path = f"/v1/teams/{fleet_fixtures.TEAM}/keys"
        issued = fleet_calls.operate(daemon, "POST", path, {"label": "t"})
        key = issued.document["key"]
        fleet_fixtures.eventually(
            lambda: statuses_for_key(large_fleet, key) == {200},
        )
        revoked = fleet_calls.operate(
            daemon, "DELETE", f"{path}/{issued.document['hash']}"
        )
        assert revoked.status == 200
        fleet_fixtures.eventually(
            lambda: statuses_for_key(large_fleet, key) == {401}
        )


class TestStartDuringStoreOutage:
    @pytest.fixture
    def late_daemon(
        self, large_fleet: _fleet.Fleet
    ) -> Iterator[_fleet.DaemonProcess]:
        """Replace a daemon while only the store is down, not the list."""
        ended = large_fleet.daemons[-1]
        ended.process.kill()
        with fleet_fixtures.faults(large_fleet.platform_url, down=True):
            large_fleet.daemons[-1] = large_fleet.start_daemon(
                len(large_fleet.daemons) - 1
            )
            yield large_fleet.daemons[-1]
        large_fleet.wait_ready()

    def test_table_is_read_from_peers(
        self, large_fleet: _fleet.Fleet, late_daemon: _fleet.DaemonProcess
    ) -> None:
        """A daemon that starts while the store is down must serve callers.

        If it reads the table only from the store, an instance replaced
        during an outage rejects all of them.
        """
        fleet_fixtures.eventually(lambda: is_answering(late_daemon))
        assert get_revision(late_daemon) == get_revision(
            large_fleet.daemons[0]
        )


def edit_call(
    daemon: _fleet.DaemonProcess, name: str, **options: Any
) -> Callable[[], fleet_calls.Answer]:
    return lambda: put_team(daemon, name, **options)


def statuses_for_key(fleet: _fleet.Fleet, key: str) -> set[int]:
    headers = {"Authorization": f"Bearer {key}"}
    return {
        fleet_calls.send(d.url, "GET", "/v1/models", headers=headers).status
        for d in fleet.daemons
    }


def is_answering(daemon: _fleet.DaemonProcess) -> bool:
    return fleet_fixtures.chat(daemon).ending is fleet_calls.Ending.WHOLE


def wait_for_reads(fleet: _fleet.Fleet, count: int) -> None:
    """Wait until the table service has answered this many further reads."""
    expected = read_count(fleet) + count
    fleet_fixtures.eventually(lambda: read_count(fleet) >= expected)


def read_count(fleet: _fleet.Fleet) -> int:
    answer = fleet_calls.send(fleet.platform_url, "GET", "/counters")
    count: int = answer.document["reads"]
    return count
