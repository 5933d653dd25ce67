"""The protocol of the platform's three services, and its faults."""

import http.client

import pytest

PUT = {"puts": [{"table": "t", "key": "a/b", "value": {"n": 1}}]}


class TestTransact:
    def test_quoted_key_is_read_back(self, platform):
        platform.call("/table/transact", PUT)
        row = {"table": "t", "key": "a/b", "version": 1, "value": {"n": 1}}
        assert platform.json("/table/rows/t/a%2Fb") == row

    def test_one_failed_condition_writes_nothing(self, platform):
        absent = {"table": "t", "key": "x", "version": 3}
        body = {**PUT, "conditions": [absent]}
        status, _, _ = platform.call("/table/transact", body)
        rows = platform.json("/table/rows/t")["rows"]
        assert (status, rows) == (409, [])

    def test_failed_condition_shows_the_row(self, platform):
        platform.call("/table/transact", PUT)
        absent = {"table": "t", "key": "a/b", "version": 0}
        answer = platform.json("/table/transact", {"conditions": [absent]})
        assert answer["failed"][0]["version"] == 1

    def test_page_starts_after_a_key(self, platform):
        keys = ["p1", "p2", "p3", "q"]
        puts = [{"table": "t", "key": key, "value": {}} for key in keys]
        platform.call("/table/transact", {"puts": puts})
        page = platform.json("/table/rows/t?prefix=p&after=p1&limit=1")
        found = [row["key"] for row in page["rows"]]
        assert (found, page["more"]) == (["p2"], True)

    def test_write_rate_rejects_with_retry_after(self, start):
        platform = start("platform", "--writes-per-second", "0.01")
        platform.call("/table/transact", PUT)
        status, headers, _ = platform.call("/table/transact", PUT)
        assert (status, headers["Retry-After"]) == (429, "1")


class TestFaults:
    def test_write_with_a_lost_answer_is_applied(self, platform):
        platform.call("/faults", {"lose_answers": 1})
        with pytest.raises((http.client.HTTPException, OSError)):
            platform.call("/table/transact", PUT)
        assert platform.json("/table/rows/t/a%2Fb")["version"] == 1

    def test_answer_of_another_table_is_not_lost(self, platform):
        lost = {"lose_answers": 1, "lose_answers_table": "other"}
        platform.call("/faults", lost)
        assert platform.call("/table/transact", PUT)[0] == 200

    def test_stale_read_returns_an_old_version(self, platform):
        for _ in range(3):
            platform.call("/table/transact", PUT)
        platform.call("/faults", {"stale_revision_lag": 2})
        assert platform.json("/table/rows/t/a%2Fb")["version"] == 1

    def test_down_rejects_and_writes_nothing(self, platform):
        platform.call("/faults", {"down": True})
        status, _, _ = platform.call("/table/transact", PUT)
        platform.call("/faults", {"down": False})
        rows = platform.json("/table/rows/t")["rows"]
        assert (status, rows) == (503, [])

    def test_unknown_fault_is_rejected(self, platform):
        assert platform.call("/faults", {"dwon": True})[0] == 400


class TestInstances:
    def test_target_is_added_marked_as_leaving_and_removed(
        self, start, platform, eventually
    ):
        service = start(
            *("service", "--id", "s1", "--service", "s"),
            *("--platform", platform.address),
        )

        def states():
            listed = platform.json("/instances")["instances"]
            return [one["state"] for one in listed]

        eventually(lambda: states() == ["live"])
        service.call("/admin/leave", {})
        eventually(lambda: states() == ["leaving"])
        service.stop()
        eventually(lambda: states() == [])
