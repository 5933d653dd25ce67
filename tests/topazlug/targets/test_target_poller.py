"""An owner's look at its replicas."""

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


class Watched:
    """One target and the watch that looks at it."""

    def __init__(self):
        self.document = {"running": 3}
        self.server = _http.server(self.answer, 0)
        self.directory = _targets.TargetDirectory(
            clock=_clock.SystemClock(), flap_window=60
        )
        self.directory.take_list(
            [fixtures.target(R1, port=self.server.server_port)]
        )
        self.loads = []
        self.told = []
        self.connections = _target_client.TargetConnections(
            connect_timeout=1.0, clock=_clock.SystemClock()
        )
        self.watch = _target_poller.TargetPoller(
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
        self.told.append(state)
        self.directory.apply_fact(
            messages.Fact(
                kind=messages.FactKind.target,
                subject=replica,
                incarnation=incarnation,
                sequence=len(self.told),
                state=state,
            )
        )

    def poll(self, times=1):
        for _ in range(times):
            self.watch.poll(R1)


@pytest.fixture
def watched():
    made = Watched()
    yield made
    made.server.stop(timeout=0)
    made.connections.close()


class TestLook:
    def test_load_is_reported(self, watched):
        watched.poll(2)
        assert watched.loads == [3, 3]
        assert watched.told == []

    def test_leaving_is_told_once(self, watched):
        watched.document = {"running": 3, "state": "leaving"}
        watched.poll(3)
        assert watched.told == [STATE.leaving]

    def test_refused_connections_mean_dead(self, watched):
        watched.server.stop(timeout=0)
        watched.poll()
        assert watched.told == []
        watched.poll(2)
        assert watched.told == [STATE.dead]

    @pytest.mark.parametrize("document", [None, {}, {"running": "many"}, []])
    def test_silence_and_nonsense_mean_dead_later(self, watched, document):
        watched.document = document
        watched.poll(3)
        assert watched.told == []
        watched.poll(2)
        assert watched.told == [STATE.dead]

    def test_dead_target_that_answers_is_live(self, watched):
        watched.document = None
        watched.poll(4)
        watched.document = {"running": 0}
        watched.poll()
        assert watched.told == [STATE.dead, STATE.live]

    def test_target_that_is_gone(self, watched):
        watched.directory.take_list([])
        watched.poll()
        assert watched.loads == []
