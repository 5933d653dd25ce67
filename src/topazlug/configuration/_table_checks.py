"""Checks of the operators' table that the schema can't express."""

import datetime
import enum
import functools
import re
from typing import Iterable
from typing import Iterator
from typing import Sequence
from typing import final

import msgspec

from topazlug._generated import messages
from topazlug._generated import table
from topazlug.configuration import _table_snapshot

SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))
IDEMPOTENT_METHODS = SAFE_METHODS | {"PUT", "DELETE"}
_METHOD = re.compile(r"^[A-Z][A-Z-]*$")
_HASH = re.compile(r"^[0-9a-f]{64}$")
_NAME = re.compile(r"^[^/\x00-\x1f\x7f]+$")
_TABLES = _table_snapshot.TableName


class FindingKind(enum.Enum):
    """Kinds of problems that the checks report."""

    NAME_INVALID = "name_invalid"
    POOL_UNKNOWN = "pool_unknown"
    SERVICE_UNKNOWN = "service_unknown"
    STILL_NAMED = "still_named"
    MODEL_TAKEN = "model_taken"
    HASH_INVALID = "hash_invalid"
    HASH_TAKEN = "hash_taken"
    EXPIRY_INVALID = "expiry_invalid"
    BOUND_BELOW_MEAN = "bound_below_mean"
    RESERVE_INVALID = "reserve_invalid"
    RESERVE_TAKES_ALL = "reserve_takes_all"
    METHOD_INVALID = "method_invalid"
    METHOD_RISKY = "method_risky"
    NO_ADMIN_LEFT = "no_admin_left"
    TEAM_WITHOUT_KEY = "team_without_key"


class Severity(enum.Enum):
    """Whether a finding rejects the edit or only warns."""

    ERROR = "error"
    WARNING = "warning"


@final
class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """One problem of a row.

    Attributes
    ----------
    table, key, column : str
        Location of the problem.
    message : str
        The problem and its remedy.
    """

    kind: FindingKind
    table: str
    key: str
    column: str
    message: str
    severity: Severity = Severity.ERROR


def select_errors(findings: Iterable[Finding]) -> list[Finding]:
    """Return the findings that reject an edit."""
    return [f for f in findings if f.severity is Severity.ERROR]


def check_changes(
    after: _table_snapshot.TableSnapshot,
    changes: Sequence[messages.RowChange],
) -> list[Finding]:
    """Check changed rows against the resulting table.

    Parameters
    ----------
    after : TableSnapshot
        The table with the changes applied.
    changes : Sequence[RowChange]
        The changes; an unchanged row is checked only if a change may have
        made it invalid.

    Returns
    -------
    list of Finding
        Findings in the order of the changes.
    """
    findings: list[Finding] = []
    for change in changes:
        name = _TABLES(change.table)
        row = after.rows_by_name(name).get(change.key)
        if row is None:
            findings += _check_removed(name, change.key, after)
            continue
        findings += _check_name(name, change.key)
        findings += _check_row(row, after)
    if any(change.table == _TABLES.OPERATORS.value for change in changes):
        findings += _check_admins(after)
    return findings


def check_all(after: _table_snapshot.TableSnapshot) -> list[Finding]:
    """Check every row of the table."""
    return check_changes(after, _table_snapshot.table_to_changes(after))


def _check_name(name: _TABLES, key: str) -> Iterator[Finding]:
    if not _NAME.match(key):
        yield Finding(
            kind=FindingKind.NAME_INVALID,
            table=name.value,
            key=key,
            column="name",
            message=f"{key!r} has a slash or control character; remove it",
        )


@functools.singledispatch
def _check_row(
    row: _table_snapshot.Row, after: _table_snapshot.TableSnapshot
) -> Iterator[Finding]:
    """Check one row against the others; drains need no such check."""
    yield from ()


@_check_row.register
def _check_team(
    row: table.TeamRow, after: _table_snapshot.TableSnapshot
) -> Iterator[Finding]:
    finding = functools.partial(Finding, table="teams", key=row.name)
    for pool in row.pools:
        if pool not in after.pools_by_name:
            yield finding(
                kind=FindingKind.POOL_UNKNOWN,
                column="pools",
                message=f"no pool {pool!r}; add it first or correct the name",
            )
    for service in row.services:
        if service not in after.services_by_name:
            yield finding(
                kind=FindingKind.SERVICE_UNKNOWN,
                column="services",
                message=f"no service {service!r}; add it or correct the name",
            )
    yield from _check_keys(row, after)


def _check_keys(
    row: table.TeamRow, after: _table_snapshot.TableSnapshot
) -> Iterator[Finding]:
    finding = functools.partial(
        Finding, table="teams", key=row.name, column="keys"
    )
    hashes = [key.hash for key in row.keys]
    if not hashes:
        yield finding(
            kind=FindingKind.TEAM_WITHOUT_KEY,
            message="the team has no key and can't be used; issue one",
            severity=Severity.WARNING,
        )
    for key in row.keys:
        if not _HASH.match(key.hash):
            yield finding(
                kind=FindingKind.HASH_INVALID,
                message=f"{key.hash!r} is not a lowercase hexadecimal SHA-256",
            )
        owner = after.team_by_key_hash.get(key.hash)
        is_own = owner is not None and owner.name == row.name
        if not is_own or hashes.count(key.hash) > 1:
            yield finding(
                kind=FindingKind.HASH_TAKEN,
                message=f"{key.hash[:8]}… is already in use, or was moved from"
                " another team in the same edit; issue another key",
            )
        if key.expires and not _is_timestamp(key.expires):
            yield finding(
                kind=FindingKind.EXPIRY_INVALID,
                message=f"{key.expires!r} is not an RFC 3339 time with an"
                " offset, such as 2027-01-31T00:00:00Z",
            )


def _is_timestamp(text: str) -> bool:
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError:
        return False
    return parsed.tzinfo is not None


@_check_row.register
def _check_service(
    row: table.ServiceRow, after: _table_snapshot.TableSnapshot
) -> Iterator[Finding]:
    finding = functools.partial(
        Finding, table="services", key=row.name, column="idempotent_methods"
    )
    for method in row.idempotent_methods:
        if not _METHOD.match(method):
            yield finding(
                kind=FindingKind.METHOD_INVALID,
                message=f"{method!r} is not a valid method; use upper case",
            )
        elif method not in IDEMPOTENT_METHODS:
            yield finding(
                kind=FindingKind.METHOD_RISKY,
                message=f"{method} is not idempotent according to RFC 9110,"
                " but will be retried after failures",
                severity=Severity.WARNING,
            )


@_check_row.register
def _check_pool(
    row: table.PoolRow, after: _table_snapshot.TableSnapshot
) -> Iterator[Finding]:
    finding = functools.partial(Finding, table="pools", key=row.name)
    for other in after.pools_by_name.values():
        if other.model == row.model and other.name != row.name:
            yield finding(
                kind=FindingKind.MODEL_TAKEN,
                column="model",
                message=f"pool {other.name!r} already serves {row.model!r}",
            )
    if 0 < row.bound < 1:
        yield finding(
            kind=FindingKind.BOUND_BELOW_MEAN,
            column="bound",
            message=f"{row.bound} is below the mean load, and replicas can't"
            " all be below it; set 1 or more, or 0 for the default",
        )
    if -1 < row.batch_reserve < 0:
        yield finding(
            kind=FindingKind.RESERVE_INVALID,
            column="batch_reserve",
            message=f"{row.batch_reserve} is not a fraction of the slots; set"
            " 0 to 0.9, or -1 for the default",
        )
    if row.batch_reserve > 0 and row.slots * (1 - row.batch_reserve) < 1:
        yield finding(
            kind=FindingKind.RESERVE_TAKES_ALL,
            column="batch_reserve",
            message=f"a reserve of {row.batch_reserve} of {row.slots} slots"
            " leaves none for batch work; lower it or raise slots",
        )


@_check_row.register
def _check_operator(
    row: table.OperatorRow, after: _table_snapshot.TableSnapshot
) -> Iterator[Finding]:
    finding = functools.partial(
        Finding, table="operators", key=row.name, column="token_hash"
    )
    if not _HASH.match(row.token_hash):
        yield finding(
            kind=FindingKind.HASH_INVALID,
            message=f"{row.token_hash!r} is not a lowercase hexadecimal"
            " SHA-256",
        )
    for other in after.operators_by_name.values():
        if other.token_hash == row.token_hash and other.name != row.name:
            yield finding(
                kind=FindingKind.HASH_TAKEN,
                message=f"operator {other.name!r} has the same token",
            )


def _check_admins(
    after: _table_snapshot.TableSnapshot,
) -> Iterator[Finding]:
    # Without an administrator, nobody could add another one. Without any
    # operator, the bootstrap token would be accepted again.
    roles = [row.role for row in after.operators_by_name.values()]
    if table.OperatorRole.admin not in roles:
        yield Finding(
            kind=FindingKind.NO_ADMIN_LEFT,
            table="operators",
            key="",
            column="role",
            message="no operator would have the role admin; keep at least one",
        )


def _check_removed(
    name: _TABLES, key: str, after: _table_snapshot.TableSnapshot
) -> Iterator[Finding]:
    if name not in (_TABLES.POOLS, _TABLES.SERVICES):
        return
    column = "pools" if name is _TABLES.POOLS else "services"
    for team in after.teams_by_name.values():
        if key in getattr(team, column):
            yield Finding(
                kind=FindingKind.STILL_NAMED,
                table=name.value,
                key=key,
                column="name",
                message=f"team {team.name!r} still references it; remove it"
                f" from the team's {column} first",
            )
