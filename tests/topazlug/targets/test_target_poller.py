"""Tests of polling owned replicas."""

import pytest

from standins import _http
from tests.topazlug import routing_fixtures as fixtures
from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug.targets import _target_client
from topazlug.targets import _target_poller
from topazlug.targets import _targets

STATE = messages.FactState
R1 = _ids.ReplicaId("r1")


class PolledTarget:
    """A target, and the poller that polls it."""

    def __init__(self):
        self.document = {"running": 3}
        self.server = _http.server(self.answer, 0)
        self.directory = _targets.TargetDirectory(
            clock=_clock.SystemClock(), flap_window=60
        )
        self.directory.set_list(
            [fixtures.target(R1, port=self.server.server_port)]
        )
        self.loads = []
        self.published = []
        self.connections = _target_client.TargetConnections(
            connect_timeout=1.0, clock=_clock.SystemClock()
        )
        self.poller = _target_poller.TargetPoller(
            owned=lambda: [R1],
            targets=self.directory,
            connections=self.connections,
            publisher=self,
            report=lambda replica, running: self.loads.append(running),
            interval=0.01,
            clock=_clock.SystemClock(),
        )

    def answer(self, request):
        if self.document is None:
            raise _http.ConnectionCut()
        return _http.json_answer(200, self.document)

    def publish_target(self, replica, *, incarnation, state):
        self.published.append(state)
        self.directory.apply_fact(
            messages.Fact(
                kind=messages.FactKind.target,
                subject=replica,
                incarnation=incarnation,
                sequence=len(self.published),
                state=state,
            )
        )

    def poll(self, times=1):
        for _ in range(times):
            self.poller.poll(R1)


@pytest.fixture
def polled():
    made = PolledTarget()
    yield made
    made.server.stop(timeout=0)
    made.connections.close()


class TestPoll:
    def test_load_is_reported(self, polled):
        polled.poll(2)
        assert polled.loads == [3, 3]
        assert polled.published == []

    def test_leaving_is_published_once(self, polled):
        polled.document = {"running": 3, "state": "leaving"}
        polled.poll(3)
        assert polled.published == [STATE.leaving]

    def test_refused_connections_mean_dead(self, polled):
        polled.server.stop(timeout=0)
        polled.poll()
        assert polled.published == []
        polled.poll(2)
        assert polled.published == [STATE.dead]

    @pytest.mark.parametrize("document", [None, {}, {"running": "many"}, []])
    def test_invalid_answers_mean_dead_later(self, polled, document):
        polled.document = document
        polled.poll(3)
        assert polled.published == []
        polled.poll(2)
        assert polled.published == [STATE.dead]

    def test_dead_target_that_answers_is_live(self, polled):
        polled.document = None
        polled.poll(4)
        polled.document = {"running": 0}
        polled.poll()
        assert polled.published == [STATE.dead, STATE.live]

    def test_target_that_is_no_longer_listed(self, polled):
        polled.directory.set_list([])
        polled.poll()
        assert polled.loads == []
