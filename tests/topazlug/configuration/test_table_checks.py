import pytest

from tests.topazlug import table_fakes
from topazlug.configuration import _configuration
from topazlug.configuration import _edit_plan
from topazlug.configuration import _table_checks

KIND = _table_checks.FindingKind
HASH = table_fakes.HASH


def change(table, key, **columns):
    return table_fakes.change(1, key, table, **columns)


@pytest.fixture
def snapshot():
    holder = _configuration.ConfigurationHolder()
    rows = [
        change("pools", "p", model="m"),
        change("teams", "acme", pools=["p"], keys=[{"hash": HASH}]),
        change("operators", "ana", role="admin", token_hash=HASH),
    ]
    holder.apply_full_table(revision=1, rows=rows)
    return holder.current


def kinds(snapshot, *changes):
    found = _edit_plan.findings_of(changes, before=snapshot)
    return {finding.kind for finding in found}


def team(**columns):
    return change("teams", "t", **{"keys": [{"hash": "b" * 64}], **columns})


@pytest.mark.parametrize(
    "row, kind",
    [
        (team(pools=["none"]), KIND.POOL_UNKNOWN),
        (team(services=["none"]), KIND.SERVICE_UNKNOWN),
        (team(keys=[{"hash": HASH}]), KIND.HASH_TAKEN),
        (team(keys=[{"hash": "c" * 64}] * 2), KIND.HASH_TAKEN),
        (team(keys=[{"hash": "Z" * 64}]), KIND.HASH_INVALID),
        (
            team(keys=[{"hash": "c" * 64, "expires": "2027-01-01"}]),
            KIND.EXPIRY_INVALID,
        ),
        (team(keys=[]), KIND.TEAM_WITHOUT_KEY),
        (change("teams", "a/b"), KIND.NAME_INVALID),
        (change("pools", "q", model="m"), KIND.MODEL_TAKEN),
        (change("pools", "q", model="n", bound=0.5), KIND.BOUND_BELOW_MEAN),
        (
            change("pools", "q", model="n", batch_reserve=-0.5),
            KIND.RESERVE_INVALID,
        ),
        (
            change("pools", "q", model="n", slots=1, batch_reserve=0.5),
            KIND.RESERVE_TAKES_ALL,
        ),
        (
            change("services", "s", idempotent_methods=["get"]),
            KIND.METHOD_INVALID,
        ),
        (
            change("services", "s", idempotent_methods=["POST"]),
            KIND.METHOD_RISKY,
        ),
        (
            change("operators", "bo", role="read", token_hash=HASH),
            KIND.HASH_TAKEN,
        ),
        (
            change("operators", "ana", role="edit", token_hash=HASH),
            KIND.NO_ADMIN_LEFT,
        ),
    ],
)
def test_problem_is_found(snapshot, row, kind):
    assert kind in kinds(snapshot, row)


@pytest.mark.parametrize(
    "row",
    [
        team(pools=["p"], ceiling_rate=5),
        change("pools", "q", model="n", bound=1.2, batch_reserve=0.25),
        change("services", "s"),
        change("drains", "z", kind="zone"),
        change("operators", "bo", role="read", token_hash="b" * 64),
    ],
)
def test_valid_rows_have_no_findings(snapshot, row):
    assert not kinds(snapshot, row)


def test_pool_that_a_team_references_can_not_be_removed(snapshot):
    removal = change("pools", "p")
    removal.value = None
    assert kinds(snapshot, removal) == {KIND.STILL_NAMED}


def test_pool_can_be_removed_with_its_teams(snapshot):
    removals = [change("pools", "p"), change("teams", "acme")]
    for row in removals:
        row.value = None
    assert not kinds(snapshot, *removals)


def test_check_all(snapshot):
    assert not _table_checks.check_all(snapshot)
