"""A request that may not be repeated runs at most once."""

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
        """Symptom: two confirmations for one registration.

        Sequence: a caller's library sends the same request to several
        daemons at once. Cause: each daemon finds the key free and sends.
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
        """Symptom: a charge runs twice after an outage.

        Sequence: the table service is down; a daemon sends without a
        claim; the caller repeats through another. Cause: sending goes
        before knowing that the claim stands.
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
        """Symptom: a caller is told not-run, and it runs.

        Sequence: the claim takes longer than the caller waits; the caller
        is answered; the claim lands. Cause: the daemon sends on it.
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
        """Symptom: a key is unusable, or its request runs twice.

        Sequence: the claim is written and the answer is lost. Cause: the
        daemon takes its own claim for another's, or for none.
        """
        lost_responses = {"lose_answers": 1, "lose_answers_table": "claims"}
        fleet_calls.fault(fleet.platform_url, **lost_responses)
        answer = fleet_fixtures.order(fleet.daemons[0], key)
        fleet_calls.fault(
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
    """Give a fleet of its own to a test that ends daemons.

    Its service runs one request at a time: the next waits with its claim
    in hand, which holds it between the claim and the first byte.
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
    """Take up the only slot of the service for a while."""
    fleet_calls.fault(own_fleet.services[0].url, late=1.5, late_count=1)
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
        """Symptom: a registration is lost, or made twice.

        Sequence: the table service is slow; the daemon dies while it
        waits; the caller repeats elsewhere. Cause: the claim of the dead
        daemon lands, or not, after the repeat.
        """
        fleet_calls.fault(own_fleet.platform_url, delay=1.5)
        first = fleet_fixtures.submit_order(
            executor, own_fleet.daemons[0], key
        )
        daemon = own_fleet.daemons[0]
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.in_flight(daemon) == 1
        )
        daemon.process.kill()
        assert first.result().ending is fleet_calls.Ending.BROKEN
        fleet_calls.fault(own_fleet.platform_url, delay=0.0)
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
        """Symptom: a caller is told not-run of what another daemon may send.

        Sequence: a daemon has claimed, waits for a slot and dies; the
        caller repeats elsewhere. Cause: a claim without an answer is taken
        for one that was not sent.
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
        """Symptom: a pick slip is printed twice.

        Sequence: the service runs the request; the daemon dies before the
        answer; the caller repeats elsewhere. Cause: the dead daemon's
        claim is taken over.
        """
        fleet_calls.fault(own_fleet.services[0].url, late=30.0, late_count=1)
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
        """Symptom: a request runs after its caller was told otherwise.

        Sequence: a daemon waits for its claim and is frozen; the deadline
        passes; it thaws with the claim in hand. Cause: it looks at the
        claim, not at the time, and sends.
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
        """Symptom: a charge runs minutes after its caller gave up.

        Sequence: a daemon has claimed and waits for a slot; it is frozen
        past the deadline; the slot is granted; it thaws. Cause: the grant
        is taken as leave to send.
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
