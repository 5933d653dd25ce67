"""Faults of the plain service and of the relay."""

import http.client

import pytest


def counters(relay):
    return relay.json("/passed", port=relay.ports[1])


@pytest.fixture
def service(start):
    return start("service", "--id", "s1", "--service", "s")


class TestService:
    def test_run_with_a_lost_answer_is_in_the_journal(self, service):
        service.call("/faults", {"die_before_answer_count": 1})
        assert service.raw("/any/path", {}, "r") == b""
        assert service.json("/journal")[0]["request_id"] == "r"

    def test_rejected_request_did_not_run(self, service):
        service.call("/faults", {"refuse_count": 1})
        status, headers, _ = service.call("/any", {})
        assert (status, headers["X-Not-Run"]) == (503, "true")
        assert service.json("/journal") == []

    def test_truncated_answer_is_short(self, service):
        service.call("/faults", {"truncate_count": 1})
        with pytest.raises(http.client.IncompleteRead):
            service.call("/any", {})


class TestRelay:
    @pytest.fixture
    def relay(self, start, service):
        return start("relay", "--to", service.address)

    def test_forwards_in_both_directions(self, relay):
        assert relay.json("/any", {})["service"] == "s"

    def test_cut_closes_open_connections(self, relay, service, eventually):
        """The test is flaky unless the relay has forwarded the request.

        While the connection is in the listener's queue, or the request is
        unread in the relay's socket, a cut resets the connection instead of
        closing it.
        """
        service.call("/faults", {"freeze": True})
        with relay.open_post("/any", {}, "r") as sock:
            eventually(lambda: counters(relay)["chunks"] > 0)
            relay.call("/faults", {"cut": True}, port=relay.ports[1])
            assert sock.recv(1) == b""

    def test_cut_resets_later_connections(self, relay, service):
        relay.call("/faults", {"cut": True}, port=relay.ports[1])
        with pytest.raises(ConnectionError):
            with relay.open_post("/any", {}, "r") as sock:
                sock.recv(1)
        assert counters(relay)["connections"] == 0

    def test_blackhole_forwards_nothing(self, relay, service):
        relay.call("/faults", {"blackhole": True}, port=relay.ports[1])
        with relay.open_post("/any", {}, "r") as sock:
            sock.settimeout(0.3)
            with pytest.raises(TimeoutError):
                sock.recv(1)
            assert service.json("/journal") == []
            relay.call("/faults", {"blackhole": False}, port=relay.ports[1])
            sock.settimeout(10)
            assert sock.recv(4) == b"HTTP"
