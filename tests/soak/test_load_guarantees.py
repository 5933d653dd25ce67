"""The checks of the soak under high load detect each violated guarantee."""

import types

import pytest

from soak import _clients
from soak import _expected
from soak import _load_guarantees
from soak import _surging_team

COMPLETION = _clients.Completion
SURGE = _surging_team.Surge(10.0, 14.0)


def outcome(**changes):
    values = {
        "attempt": "a1",
        "path": _expected.STREAM,
        "daemon": 0,
        "started": 12.0,
        "ended": 12.5,
        "completion": COMPLETION.ANSWERED,
        "status": 200,
        "body": b"",
        "signed": True,
        "reused": False,
        "team": "other",
    }
    return _clients.Outcome(**{**values, **changes})


class TestDeadline:
    """A request with a deadline of 2 s, or a stream with one of 4 s."""

    def is_violated(self, *, disruptions=(), **changes):
        daemon = types.SimpleNamespace(disruptions=list(disruptions))
        world = types.SimpleNamespace(daemons=[daemon])
        one = outcome(**{"path": _expected.READ, "started": 10.0, **changes})
        return list(_load_guarantees.check_deadline(world, one)) != []

    def test_wait_for_a_response(self):
        assert not self.is_violated(ended=12.4)
        assert self.is_violated(ended=12.6)

    @pytest.mark.parametrize(
        "completion", [COMPLETION.TIMED_OUT, COMPLETION.NO_RESPONSE]
    )
    def test_wait_without_a_response(self, completion):
        changes = {"completion": completion, "status": 0}
        assert self.is_violated(ended=13.0, **changes)
        assert not self.is_violated(ended=12.0, **changes)

    def test_rejection_past_the_deadline(self):
        assert self.is_violated(ended=12.6, status=503)

    def test_body_of_a_stream_may_arrive_later(self):
        stream = {"path": _expected.STREAM, "ended": 16.0}
        assert not self.is_violated(head_at=13.9, **stream)
        assert self.is_violated(head_at=14.6, **stream)

    def test_connection_that_was_not_accepted(self):
        assert not self.is_violated(
            ended=13.0, completion=COMPLETION.NO_CONNECTION, status=0
        )

    def test_disrupted_daemon(self):
        assert not self.is_violated(ended=13.0, disruptions=[(11.0, 14.0)])
        assert not self.is_violated(ended=13.0, disruptions=[(5.0, 10.5)])
        assert self.is_violated(ended=13.0, disruptions=[(5.0, 9.0)])


def is_share_violated(own, surging, *, surges=(SURGE,), **changes):
    """Check numbers of (served, rejected) requests of two teams."""
    outcomes = [
        outcome(team=team, status=status, **changes)
        for team, counts in (
            ("other", own),
            (_expected.SURGING_TEAM, surging),
        )
        for status, count in zip((200, 503), counts)
        for _ in range(count)
    ]
    return list(_load_guarantees.check_shares(surges, outcomes)) != []


class TestShares:
    def test_starved_team(self):
        assert is_share_violated((0, 60), (200, 200))

    def test_team_in_proportion_to_its_requests(self):
        """Without shares a team gets as much as it sends."""
        assert not is_share_violated((30, 30), (200, 200))
        assert not is_share_violated((60, 0), (200, 200))

    def test_nine_tenths_and_chance(self):
        assert is_share_violated((2000, 2800), (4800, 4800))
        assert not is_share_violated((2150, 2650), (4800, 4800))
        assert not is_share_violated((2, 4), (200, 200))

    def test_capacity_lost_for_all(self):
        assert not is_share_violated((0, 60), (0, 400))

    def test_only_during_a_surge(self):
        for started, expected in (
            (10.9, False),
            (11.0, True),
            (13.9, True),
            (14.0, False),
        ):
            assert (
                is_share_violated((0, 60), (200, 200), started=started)
                is expected
            )
        assert not is_share_violated((0, 60), (200, 200), surges=())

    def test_team_that_asks_for_more(self):
        assert not is_share_violated((0, 500), (200, 200))

    def test_crashing_requests_do_not_count(self):
        assert not is_share_violated((0, 60), (200, 200), crashes=True)

    def test_kinds_of_requests_are_compared_separately(self):
        """Served reads must not hide that all streams of a team starve."""
        reads = [
            outcome(team=team, path=_expected.READ)
            for team in ("other", _expected.SURGING_TEAM)
            for _ in range(1000)
        ]
        streams = [
            outcome(team=team, status=status)
            for team, status in (
                ("other", 429),
                (_expected.SURGING_TEAM, 200),
            )
            for _ in range(60)
        ]
        (line,) = _load_guarantees.check_shares([SURGE], reads + streams)
        assert line.startswith("SHARE /stream/")


class TestDescription:
    def test_streams_during_surges(self):
        outcomes = [
            outcome(team=team, status=status, started=started)
            for team, status, started in (
                ("other", 200, 12.0),
                ("other", 200, 9.0),
                ("other", 503, 12.0),
                ("other", 502, 12.0),
                (_expected.SURGING_TEAM, 200, 12.0),
            )
        ]
        outcomes.append(outcome(path=_expected.READ))
        assert _load_guarantees.describe_shares([SURGE], outcomes) == (
            "1 of 2 streams of other in surges, "
            "1 of 1 streams of surging in surges"
        )
