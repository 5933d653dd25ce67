"""Requests while the replicas of one zone are unreachable."""

import itertools

import msgspec
import pytest

from tests.topazlug.placement import owner_fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug.routing import _ranking

REPLICAS = tuple(f"i-{number}" for number in range(12))
ZONES = ("a", "b", "c")
# Connection timeout, by which a request is delayed.
CONNECT_SECONDS = 0.25
REQUESTS_PER_SECOND = 10


class Rig:
    """One daemon that can't reach some zones for a while."""

    def __init__(self):
        self.fleet = owner_fixtures.Fleet("d0", replicas=REPLICAS)
        self.daemon = self.fleet.daemon_by_name["d0"]
        targets = [
            msgspec.structs.replace(one, zone=ZONES[number % len(ZONES)])
            for number, one in enumerate(self.fleet.targets)
        ]
        self.daemon.targets.set_list(targets)
        self.daemon.views.update_targets(targets)
        self.unreachable = set()
        self._chats = itertools.count()

    def send(self, **request):
        """Send one request; return its number of failed connections."""
        chat = _ids.ChatHash(_ranking.chat_hash("c", str(next(self._chats))))
        excluded = frozenset()
        waited = 0
        while True:
            placement = self.daemon.admit(chat, excluded=excluded, **request)
            self.daemon.admission.release(placement)
            if placement.target.zone not in self.unreachable:
                self.daemon.targets.reachability.record_answer(
                    placement.target
                )
                return waited
            waited += 1
            self.fleet.clock.advance(CONNECT_SECONDS)
            self.daemon.admission.handle_connection_failure(
                placement, timed_out=True
            )
            self.daemon.targets.avoid(placement.target.replica)
            excluded |= {placement.target.replica}

    def run(self, seconds, **request):
        """Send requests for some seconds; return how many were delayed."""
        late = 0
        for _ in range(int(seconds * REQUESTS_PER_SECOND)):
            late += self.send(**request) > 0
            self.fleet.clock.advance(1.0 / REQUESTS_PER_SECOND)
        return late


class TestUnreachableZone:
    """Few requests may be delayed while a daemon can't reach a zone.

    Each replica of the zone delayed a request by the connection timeout, one
    replica a second, as a failed connection counted against the replica
    and not against its zone. With two zones unreachable, a sixth of all
    requests was late.
    """

    @pytest.mark.parametrize("keeps_context", [True, False])
    def test_few_requests_are_late(self, keeps_context):
        rig = Rig()
        rig.run(1.0, keeps_context=keeps_context)
        rig.unreachable = {"b"}
        late = rig.run(6.0, keeps_context=keeps_context)
        # Two until the zone counts as unreachable, and one for each new try of
        # the zone.
        assert late <= 2 + 3

    def test_zone_is_used_again(self):
        rig = Rig()
        rig.unreachable = {"b"}
        rig.run(3.0)
        rig.unreachable = set()
        rig.run(4.0)
        used = set()
        for number in range(60):
            chat = _ids.ChatHash(_ranking.chat_hash("u", str(number)))
            placement = rig.daemon.admit(chat)
            rig.daemon.admission.release(placement)
            used.add(placement.target.zone)
        assert used == set(ZONES)

    def test_zones_are_tried_if_all_are_unreachable(self):
        rig = Rig()
        rig.unreachable = set(ZONES)
        with pytest.raises(_errors.RequestError):
            for _ in range(9):
                rig.send()
        rig.unreachable = set()
        rig.fleet.clock.advance(1.5)
        assert rig.send() == 0
