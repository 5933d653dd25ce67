"""An accepted configuration is in force everywhere and stays."""

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
    """Give a team's weight as a daemon holds it, None without the row."""
    answer = fleet_calls.operate(daemon, "GET", f"/v1/teams/{name}")
    if answer.status != 200:
        return None
    weight: float = answer.document["row"]["weight"]
    return weight


def get_revision(daemon: _fleet.DaemonProcess) -> int:
    """Give the revision that a daemon holds."""
    answer = fleet_calls.operate(daemon, "GET", "/v1/config/status")
    revision: int = answer.document["revision"]
    return revision


def wait_for_weight(
    daemons: list[_fleet.DaemonProcess], name: str, weight: float
) -> None:
    """Wait until all daemons hold a weight."""
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
        """Symptom: an accepted edit holds on some daemons only.

        Sequence: an edit is accepted; the store is up and down by turns.
        Cause: a daemon learns of edits from the store alone, or takes a
        failed read for an empty table.
        """
        assert put_team(large_fleet.daemons[0], team, weight=2).status == 201
        revisions = []
        for flap in range(FLAPS):
            fleet_calls.fault(large_fleet.platform_url, down=flap % 2 == 0)
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
        """Symptom: an accepted edit is gone again.

        Sequence: a replica of the store lags and answers reads with the
        rows of some revisions ago. Cause: what the store says last wins.
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
        """Symptom: an operator's edit disappears without a word.

        Sequence: two operators read a row and send it back changed, each
        to a daemon of their own. Cause: the later write wins.
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
        """Symptom: an edit is refused and in force, or made twice.

        Sequence: the store commits the edit and its answer is lost; the
        operator sends it again. Cause: the repeat is taken for another
        edit.
        """
        before = get_revision(large_fleet.daemons[0])
        fleet_calls.fault(large_fleet.platform_url, lose_answers=1)
        headers = {"X-Edit-Id": f"edit-{team}-of-this-test"}
        answers = [
            put_team(daemon, team, weight=2, headers=headers)
            for daemon in large_fleet.daemons[:2]
        ]
        fleet_calls.fault(large_fleet.platform_url, lose_answers=0)
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
        """Replace a daemon while the store is down, the list still up."""
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
        """Symptom: an instance replaced during an outage refuses callers.

        Sequence: a daemon starts while the store is down. Cause: it asks
        only the store for its table.
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
    """Wait until the table service has answered so many reads more."""
    expected = read_count(fleet) + count
    fleet_fixtures.eventually(lambda: read_count(fleet) >= expected)


def read_count(fleet: _fleet.Fleet) -> int:
    answer = fleet_calls.send(fleet.platform_url, "GET", "/counters")
    count: int = answer.document["reads"]
    return count
