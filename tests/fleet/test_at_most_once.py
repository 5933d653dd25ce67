"""A request that must not be repeated runs at most once."""

from concurrent import futures
import time
from typing import Iterator

import pytest

from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls
from tests.fleet import fleet_fixtures

pytestmark = pytest.mark.processes


@pytest.fixture
def executor() -> Iterator[futures.Executor]:
    with futures.ThreadPoolExecutor(8) as started:
        yield started


@pytest.fixture
def key() -> str:
    return fleet_fixtures.new_key()


class TestConcurrentRequests:
    def test_same_key_on_all_daemons(
        self, fleet: _fleet.Fleet, key: str
    ) -> None:
        """Concurrent requests with one key must not run twice.

        A caller's library sent the same request to several daemons at once.
        Each found the key unclaimed and forwarded it, and one registration
        was confirmed twice.
        """
        calls = [
            lambda daemon=daemon: fleet_fixtures.order(daemon, key)
            for daemon in fleet.daemons * 4
        ]
        answers = fleet_fixtures.run_concurrently(calls)
        assert fleet_fixtures.run_count(fleet, key) == 1
        assert {answer.status for answer in answers} <= {200, 409}
        assert all(answer.outcome != "not-run" for answer in answers)
        whole = {a.body for a in answers if a.status == 200}
        assert len(whole) == 1

    def test_repeat_gets_the_same_response_from_each_daemon(
        self, fleet: _fleet.Fleet, key: str
    ) -> None:
        first = fleet_fixtures.order(fleet.daemons[0], key)
        fleet_fixtures.eventually(
            lambda: all(
                fleet_fixtures.order(daemon, key).body == first.body
                for daemon in fleet.daemons
            )
        )
        assert first.status == 200
        assert fleet_fixtures.run_count(fleet, key) == 1

    def test_another_body_under_the_same_key(
        self, fleet: _fleet.Fleet, key: str
    ) -> None:
        fleet_fixtures.order(fleet.daemons[0], key)
        answer = fleet_fixtures.order(fleet.daemons[1], key, body=b'{"a": 1}')
        assert (answer.status, answer.code) == (422, "idempotency_key_reused")
        assert fleet_fixtures.run_count(fleet, key) == 1


class TestTableService:
    def test_down(self, fleet: _fleet.Fleet, key: str) -> None:
        """A request without a written claim must not be forwarded.

        If a daemon forwards it while the table service is down, a repeat
        through another daemon runs it again.
        """
        with fleet_fixtures.faults(fleet.platform_url, down=True):
            answers = [fleet_fixtures.order(d, key) for d in fleet.daemons]
        assert {answer.status for answer in answers} == {503}
        assert {answer.outcome for answer in answers} == {"not-run"}
        assert all(answer.headers["retry-after"] for answer in answers)
        assert fleet_fixtures.run_count(fleet, key) == 0
        assert fleet_fixtures.order(fleet.daemons[0], key).status == 200

    def test_slow(self, fleet: _fleet.Fleet, key: str) -> None:
        with fleet_fixtures.faults(fleet.platform_url, delay=0.4):
            answer = fleet_fixtures.order(fleet.daemons[0], key)
        assert answer.status == 200
        assert fleet_fixtures.run_count(fleet, key) == 1

    def test_slower_than_the_deadline(
        self, fleet: _fleet.Fleet, key: str
    ) -> None:
        """A request must not run after its caller got the outcome not-run.

        The claim is written only after the caller's deadline. A daemon that
        then goes on forwards a request that it has answered already.
        """
        with fleet_fixtures.faults(fleet.platform_url, delay=1.0):
            answer = fleet_fixtures.order(fleet.daemons[0], key, deadline=0.5)
        assert (answer.status, answer.outcome) == (504, "not-run")
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.claim_states(fleet, key) == ["released"]
        )
        assert fleet_fixtures.run_count(fleet, key) == 0
        assert fleet_fixtures.order(fleet.daemons[1], key).status == 200
        assert fleet_fixtures.run_count(fleet, key) == 1

    def test_response_lost_after_the_claim_was_written(
        self, fleet: _fleet.Fleet, key: str
    ) -> None:
        """A daemon must recognize its claim after the response was lost.

        If it takes the claim for another daemon's, the key becomes unusable;
        if it assumes that no claim was written, the request may run twice.
        """
        lost_responses = {"lose_answers": 1, "lose_answers_table": "claims"}
        fleet_calls.set_faults(fleet.platform_url, **lost_responses)
        answer = fleet_fixtures.order(fleet.daemons[0], key)
        fleet_calls.set_faults(
            fleet.platform_url, lose_answers=0, lose_answers_table=None
        )
        ran = fleet_fixtures.run_count(fleet, key)
        assert (answer.status, ran) in ((200, 1), (503, 0))
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.order(fleet.daemons[1], key).status == 200
        )
        assert fleet_fixtures.run_count(fleet, key) == 1


@pytest.fixture
def own_fleet() -> Iterator[_fleet.Fleet]:
    """Return a fleet for a single test, which may end daemons.

    Its service runs one request at a time. The next one waits for the slot
    with its claim written, so that it stays between the claim and the first
    byte.
    """
    deployment = fleet_fixtures.deployment(
        daemons=3, engines=0, services=1, service_slots=1
    )
    with _fleet.Fleet(deployment) as started:
        yield started


@pytest.fixture
def running_order(
    own_fleet: _fleet.Fleet, executor: futures.Executor
) -> "futures.Future[fleet_calls.Answer]":
    """Occupy the only slot of the service for a while."""
    fleet_calls.set_faults(own_fleet.services[0].url, late=1.5, late_count=1)
    other_key = fleet_fixtures.new_key()
    first = fleet_fixtures.submit_order(
        executor, own_fleet.daemons[1], other_key
    )
    fleet_fixtures.eventually(
        lambda: fleet_fixtures.run_count(own_fleet, other_key) == 1
    )
    return first


class TestClaimantKilled:
    def test_before_the_claim_is_written(
        self, own_fleet: _fleet.Fleet, key: str, executor: futures.Executor
    ) -> None:
        """A claim written after its daemon died must not cause a second run.

        The daemon is killed while it waits for a slow table service, and the
        caller repeats at another daemon. The dead daemon's claim may be
        written before or after the repeat, or not at all.
        """
        fleet_calls.set_faults(own_fleet.platform_url, delay=1.5)
        first = fleet_fixtures.submit_order(
            executor, own_fleet.daemons[0], key
        )
        daemon = own_fleet.daemons[0]
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.in_flight(daemon) == 1
        )
        daemon.process.kill()
        assert first.result().ending is fleet_calls.Ending.BROKEN
        fleet_calls.set_faults(own_fleet.platform_url, delay=0.0)
        answer = fleet_fixtures.order(own_fleet.daemons[1], key)
        ran = fleet_fixtures.run_count(own_fleet, key)
        assert (answer.status, ran) in ((200, 1), (409, 0))
        assert answer.outcome != "not-run"

    def test_between_the_claim_and_the_first_byte(
        self,
        own_fleet: _fleet.Fleet,
        key: str,
        executor: futures.Executor,
        running_order: "futures.Future[fleet_calls.Answer]",
    ) -> None:
        """The outcome of a claim without a stored answer is unknown.

        A daemon writes its claim, waits for a slot and is killed. The daemon
        that receives the repeat can't tell whether the request was forwarded,
        so it must not report not-run.
        """
        first = fleet_fixtures.submit_order(
            executor, own_fleet.daemons[0], key
        )
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.claim_states(own_fleet, key) == ["claimed"]
        )
        own_fleet.daemons[0].process.kill()
        assert first.result().ending is fleet_calls.Ending.BROKEN
        assert running_order.result().status == 200
        answer = fleet_fixtures.order(own_fleet.daemons[1], key)
        assert (answer.status, answer.outcome) == (409, "unknown")
        assert fleet_fixtures.run_count(own_fleet, key) == 0

    def test_while_the_service_runs_it(
        self, own_fleet: _fleet.Fleet, key: str, executor: futures.Executor
    ) -> None:
        """The claim of a dead daemon must not be taken over.

        The service runs the request and the daemon is killed before the
        answer. If another daemon takes over the claim on a repeat, the
        request runs twice.
        """
        fleet_calls.set_faults(
            own_fleet.services[0].url, late=30.0, late_count=1
        )
        first = fleet_fixtures.submit_order(
            executor, own_fleet.daemons[0], key
        )
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.run_count(own_fleet, key) == 1
        )
        own_fleet.daemons[0].process.kill()
        assert first.result().ending is fleet_calls.Ending.BROKEN
        for daemon in own_fleet.daemons[1:]:
            answer = fleet_fixtures.order(daemon, key)
            assert (answer.status, answer.outcome) == (409, "unknown")
        assert fleet_fixtures.run_count(own_fleet, key) == 1


class TestClaimantFrozen:
    def test_past_its_deadline_and_thawed(
        self, fleet: _fleet.Fleet, key: str, executor: futures.Executor
    ) -> None:
        """A resumed daemon must check the deadline before it forwards.

        It is frozen while it waits for its claim to be written, and resumes
        after the deadline with a valid claim. If it checks only the claim,
        the request runs although its caller gets not-run.
        """
        daemon = fleet.daemons[2]
        with fleet_fixtures.faults(fleet.platform_url, delay=0.8):
            first = fleet_fixtures.submit_order(
                executor, daemon, key, deadline=1.5
            )
            fleet_fixtures.eventually(
                lambda: fleet_fixtures.in_flight(daemon) == 1
            )
            daemon.process.freeze()
            frozen_until = time.monotonic() + 2.5
            fleet_fixtures.eventually(lambda: time.monotonic() > frozen_until)
            daemon.process.thaw()
            answer = first.result()
        assert (answer.status, answer.outcome) == (504, "not-run")
        assert fleet_fixtures.run_count(fleet, key) == 0
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.order(fleet.daemons[0], key).status == 200
        )
        assert fleet_fixtures.run_count(fleet, key) == 1

    @pytest.mark.parametrize("owns_the_service", [False, True])
    def test_while_it_holds_a_claim(
        self,
        own_fleet: _fleet.Fleet,
        key: str,
        executor: futures.Executor,
        running_order: "futures.Future[fleet_calls.Answer]",
        owns_the_service: bool,
    ) -> None:
        """A slot granted after the deadline must not be used.

        A daemon with a written claim waits for a slot and is frozen until
        after the deadline, while the slot is granted. If it relies on the
        grant alone when it resumes, the request runs long after its caller
        has given up.
        """
        entry = fleet_calls.replicas(own_fleet.daemons[0])["letters-0"]
        daemon = next(
            daemon
            for daemon in own_fleet.daemons
            if (daemon.name == entry["owner"]) is owns_the_service
        )
        first = fleet_fixtures.submit_order(
            executor, daemon, key, deadline=2.0
        )
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.claim_states(own_fleet, key) == ["claimed"]
        )
        daemon.process.freeze()
        frozen_until = time.monotonic() + 2.4
        fleet_fixtures.eventually(lambda: time.monotonic() > frozen_until)
        daemon.process.thaw()
        answer = first.result()
        assert running_order.result().status == 200
        assert answer.outcome == "not-run"
        assert answer.status in (503, 504)
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.claim_states(own_fleet, key) == ["released"]
        )
        assert fleet_fixtures.run_count(own_fleet, key) == 0
