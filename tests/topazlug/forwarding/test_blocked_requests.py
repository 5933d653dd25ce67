"""Operators list and release blocked requests in the store."""

import logbook
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.crashes import crash_fixtures
from tests.topazlug.fleet import store_fakes
from topazlug import _errors
from topazlug.crashes import _crash_records
from topazlug.forwarding import _blocked_requests
from topazlug.versions import _version_records


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def store(clock):
    tables = store_fakes.FakeTables()
    for record in (
        crash_fixtures.crash("i-1@1", ("f", "a1"), at=clock.now()),
        crash_fixtures.block("f", "i-1@1", at=clock.now()),
        crash_fixtures.block("g", "i-2@1", at=clock.now(), released=True),
    ):
        tables.put(
            _crash_records.TABLE,
            _crash_records.record_key(record),
            _crash_records.encode(record),
        )
    tables.put(_crash_records.TABLE, "block/spoilt", b"{")
    return tables


def blocked_fingerprints(store, clock):
    blocks = _blocked_requests.blocks_in_force(store, clock=clock)
    return [block.fingerprint for block in blocks]


class TestBlocked:
    def test_only_blocks_in_force_are_listed(self, store, clock):
        assert blocked_fingerprints(store, clock) == ["f"]
        clock.advance(_crash_records.RETENTION.total_seconds())
        assert blocked_fingerprints(store, clock) == []

    def test_records_of_versions_are_not_invalid_rows(self, store, clock):
        """Each software version was reported as an error."""
        record = _version_records.VersionRecord(
            group="llm", version="1", number=1
        )
        store.put(
            _crash_records.TABLE,
            _version_records.record_key(record),
            _version_records.encode(record),
        )
        with logbook.TestHandler().applicationbound() as lines:
            assert blocked_fingerprints(store, clock) == ["f"]
        assert [one.kwargs["key"] for one in lines.records] == ["block/spoilt"]

    def test_release(self, store, clock):
        _blocked_requests.release(store, "f", clock=clock)
        assert blocked_fingerprints(store, clock) == []

    def test_release_of_an_unblocked_request(self, store, clock):
        with pytest.raises(_errors.NotBlocked):
            _blocked_requests.release(store, "g", clock=clock)
