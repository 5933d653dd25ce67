"""Replicas that are replaced under their id and address."""

import types

import pytest
from topazlug_platform import reports

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _errors
from topazlug.targets import _process_check

LISTED = fixtures.target("i-1", incarnation=1000)


class Connections:
    """Answers with a report, or fails."""

    def __init__(self, status=200, body=b"{}", error=None):
        self.requests = []
        self._answer = types.SimpleNamespace(
            status=status,
            chunks=lambda **_: iter([body]),
            close=lambda: None,
        )
        self._error = error

    def exchange(self, target, request, **_):
        self.requests.append(request)
        if self._error is not None:
            raise self._error
        return self._answer


def confirm(connections, *, target=LISTED, listed=LISTED, is_mixed=True):
    check = _process_check.ProcessCheck(
        connections=connections,
        listed=lambda: {listed.replica: listed},
        codec=reports.ProcessReports(),
        is_mixed=lambda group: is_mixed,
        clock=claim_fakes.FakeClock(),
    )
    check.confirm(target)


class TestConfirm:
    @pytest.mark.parametrize(
        "body", [b'{"born":1000,"busy":false}', b'{"busy":false}', b"oops"]
    )
    def test_same_process_or_no_start_in_the_report(self, body):
        connections = Connections(body=body)
        confirm(connections)
        assert [one.path for one in connections.requests] == ["/v1/report"]
        assert connections.requests[0].is_probe

    def test_another_process(self):
        """A stream went on at the version that had taken its place."""
        with pytest.raises(_errors.TargetRefused):
            confirm(Connections(body=b'{"born":2000}'))

    @pytest.mark.parametrize(
        "connections",
        [
            Connections(status=503),
            Connections(body=b"x" * 70000),
            Connections(error=_errors.TargetSilent("silent")),
        ],
    )
    def test_replica_that_can_not_be_confirmed(self, connections):
        with pytest.raises(_errors.TargetRefused):
            confirm(connections)

    def test_list_shows_another_process(self):
        connections = Connections()
        newer = fixtures.target("i-1", incarnation=2000)
        with pytest.raises(_errors.TargetRefused):
            confirm(connections, listed=newer)
        assert connections.requests == []

    def test_entries_without_a_start_need_no_report(self):
        """A replica that gets a new id with each start is known by it."""
        connections = Connections()
        target = fixtures.target("i-1", incarnation=1)
        confirm(connections, target=target, listed=target)
        assert connections.requests == []

    def test_replicas_of_one_version_are_not_asked(self):
        """Each resumed stream would cost a probe."""
        connections = Connections()
        confirm(connections, is_mixed=False)
        assert connections.requests == []
