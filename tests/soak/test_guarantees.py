"""Each promise, when broken, is noticed."""

import types

import pytest

from soak import _clients
from soak import _expected
from soak import _guarantees
from soak import _store
from soak import _world

COMPLETION = _clients.Completion
ATTEMPT = "a1"


def outcome(**changes):
    values = {
        "attempt": ATTEMPT,
        "path": _expected.ONCE,
        "daemon": 0,
        "started": 10.0,
        "ended": 10.5,
        "completion": COMPLETION.ANSWERED,
        "status": 200,
        "body": _expected.response_body(ATTEMPT),
        "signed": True,
        "reused": False,
    }
    return _clients.Outcome(**{**values, **changes})


def world(
    *,
    runs=(),
    reports=(),
    killed=(),
    drained=None,
    changed_at=(),
    disruptions=(),
    evacuations=(),
    cold_overloads=(),
):
    replica = types.SimpleNamespace(name="i-1", drained_at=drained, zone="z")
    return types.SimpleNamespace(
        evacuations=list(evacuations),
        cold_overloads=lambda: list(cold_overloads),
        runs=lambda: list(runs),
        reports=lambda: list(reports),
        daemons=[
            types.SimpleNamespace(
                killed_at=list(killed), disruptions=list(disruptions)
            )
        ],
        replicas=[replica],
        former_replicas=[],
        store=types.SimpleNamespace(
            changes=[(at, _store.Mode.NORMAL) for at in changed_at]
        ),
    )


def found(one, **options):
    return [
        line.split()[0]
        for line in _guarantees.find_violations(world(**options), [one])
    ]


RUN = (10.1, "i-1", ATTEMPT)


class TestPromises:
    def test_nothing_is_broken(self):
        assert found(outcome(), runs=[RUN]) == []

    @pytest.mark.parametrize(
        "changes", [{"body": b"other"}, {"signed": False}]
    )
    def test_wrong_answer(self, changes):
        assert found(outcome(**changes), runs=[RUN]) == ["MIXED"]

    def test_stream_with_an_event_missing(self):
        whole = _expected.stream_body(ATTEMPT)
        torn = whole.replace(_expected.format_event(ATTEMPT, 2), b"")
        for body, wanted in ((whole, []), (torn, ["MIXED"])):
            one = outcome(path=_expected.STREAM, body=body)
            assert found(one, runs=[RUN]) == wanted

    def test_two_runs(self):
        assert found(outcome(), runs=[RUN, RUN]) == ["TWICE"]

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_false_refusal(self, status):
        assert found(outcome(status=status), runs=[RUN]) == ["REFUSED"]

    def test_failure_promises_nothing(self):
        assert found(outcome(status=502), runs=[RUN]) == []

    def test_silence(self):
        one = outcome(completion=COMPLETION.NO_RESPONSE, status=0)
        assert found(one, runs=[RUN]) == ["LOST"]
        assert found(one, runs=[RUN], killed=[10.2]) == []

    def test_close_that_crosses_a_request(self):
        one = outcome(completion=COMPLETION.NO_RESPONSE, status=0, reused=True)
        assert found(one) == []

    def test_run_that_nobody_asked_for(self):
        assert found(outcome(), runs=[RUN, (10.2, "i-1", "x")]) == ["UNASKED"]

    def test_work_after_leaving(self):
        assert found(outcome(), runs=[RUN], drained=7.0) == ["DRAIN"]
        assert found(outcome(), runs=[RUN], drained=8.0) == []
        assert (
            found(outcome(), runs=[RUN], drained=7.0, changed_at=[6.0]) == []
        )

    def test_key_that_is_not_known_in_time(self):
        one = outcome(status=401, key_accepted_at=7.0)
        assert found(one) == ["CONFIG"]
        assert found(one, changed_at=[8.0]) == []
        assert found(one, disruptions=[(8.0, 11.0)]) == []
        assert found(outcome(status=401, key_accepted_at=8.0)) == []
        assert found(outcome(status=401)) == []


class TestCrashes:
    """A request that ends replicas, once a second at one daemon."""

    def broken(self, count, **options):
        outcomes = [
            outcome(
                attempt=f"a{number}",
                path=_expected.READ,
                status=502,
                crashes=True,
            )
            for number in range(count)
        ]
        runs = [(float(n), f"i-{n}", f"a{n}") for n in range(count)]
        made = world(runs=runs, **options)
        return [
            line.split()[0]
            for line in _guarantees.find_violations(made, outcomes)
        ]

    def test_three_more_may_end_when_all_may_know(self):
        # The third ends at 2 s; those after 5 s count.
        assert self.broken(9) == []
        assert self.broken(10) == ["BUDGET:"]

    def test_disturbed_daemon_may_not_know(self):
        assert self.broken(10, disruptions=[(4.0, 8.5)]) == []

    def test_nobody_may_know_while_the_store_is_disturbed(self):
        assert self.broken(10, changed_at=[5.5]) == []
        assert self.broken(12, changed_at=[5.5]) == []
        assert self.broken(13, changed_at=[5.5]) == ["BUDGET:"]


class TestZones:
    def test_work_in_an_evacuated_zone(self):
        evacuation = _world.Evacuation("z", 5.0, 12.0)
        options = {"runs": [RUN], "evacuations": [evacuation]}
        assert found(outcome(), **options) == ["EVAC"]
        assert found(outcome(), changed_at=[6.0], **options) == []

    def test_work_elsewhere_before_it_is_known_and_afterwards(self):
        evacuations = [
            _world.Evacuation("y", 5.0, 12.0),
            _world.Evacuation("z", 9.0, 12.0),
            _world.Evacuation("z", 2.0, 10.0),
        ]
        assert found(outcome(), runs=[RUN], evacuations=evacuations) == []

    def test_cold_replica_that_got_too_much(self):
        assert found(
            outcome(), runs=[RUN], cold_overloads=["10.0 i-1 15"]
        ) == ["FAILBACK"]


class TestOwnWord:
    """Requests at a replica that has said that it wants none."""

    def broken(self, kind, *requests, **options):
        """Give what breaks: a request comes at each moment, the first told."""
        attempts = [f"a{number}" for number in range(len(requests))]
        outcomes = [
            outcome(
                attempt=attempt,
                path=_expected.READ,
                started=at,
                status=503 if kind == "backoff" else 200,
                body=_expected.response_body(attempt),
            )
            for at, attempt in zip(requests, attempts)
        ]
        first = _world.ReplicaReport(requests[0], "i-1", "a0", kind)
        made = world(
            runs=[
                (at, "i-1", attempt)
                for at, attempt in zip(requests[1:], attempts[1:])
            ],
            reports=[first],
            **options,
        )
        return [
            line.split()[0]
            for line in _guarantees.find_violations(made, outcomes)
        ]

    def test_work_after_an_answer_that_says_leaving(self):
        assert self.broken("leaving", 10.0, 12.4) == []
        assert self.broken("leaving", 10.0, 12.6) == ["DRAIN"]

    def test_work_within_a_backoff(self):
        assert self.broken("backoff", 10.0, 11.0, 12.0) == []
        assert self.broken("backoff", 10.0, 10.6, 11.0, 12.9) == ["BUDGET"]

    def test_work_on_its_way_and_after_a_backoff(self):
        assert self.broken("backoff", 10.0, 10.4, 11.0, 12.0, 13.1) == []

    @pytest.mark.parametrize("kind", ["leaving", "backoff"])
    def test_daemon_that_was_restarted_does_not_know(self, kind):
        requests = (10.0, 12.6, 12.7, 12.8)
        assert self.broken(kind, *requests)
        disruptions = [(11.0, 14.0)]
        assert self.broken(kind, *requests, disruptions=disruptions) == []
