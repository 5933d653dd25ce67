"""The list of replicas during and after an outage of the store."""

from tests.topazlug import routing_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _clock
from topazlug.placement import _replica_list


class Rig:
    def __init__(self, monkeypatch, seconds):
        monkeypatch.setattr(_replica_list, "_GRACE_SECONDS", seconds)
        self.names = []
        self.list = _replica_list.ReplicaList(
            on_change=self._record_names,
            unreachable=120.0,
            clock=_clock.SystemClock(),
        )

    def _record_names(self, targets):
        self.names = sorted(target.replica for target in targets)

    def update(self, *names, leaving=()):
        self.list.update(
            fixtures.target(name, leaving=name in leaving, port=ord(name))
            for name in names
        )


class TestReplicaList:
    def test_expired_entries_are_kept_for_the_grace_period(self, monkeypatch):
        """Requests must not all be rejected right after an outage.

        All entries expire while the store is unreachable. It recovers with an
        empty list, and the replicas write their entries a second later.
        """
        rig = Rig(monkeypatch, 60.0)
        rig.update("a", "b")
        rig.list.handle_store_reconnected(0.0)
        rig.update()
        assert rig.names == ["a", "b"]
        rig.update("a")
        assert rig.names == ["a", "b"]

    def test_replica_that_does_not_renew_is_removed(self, monkeypatch):
        rig = Rig(monkeypatch, 0.05)
        rig.update("a", "b")
        rig.list.handle_store_reconnected(0.0)
        rig.update("a")
        routing_fixtures.wait_until(lambda: rig.names == ["a"])

    def test_leaving_replica_is_not_kept(self, monkeypatch):
        rig = Rig(monkeypatch, 60.0)
        rig.update("a", "b", leaving=["b"])
        rig.list.handle_store_reconnected(0.0)
        rig.update("a")
        assert rig.names == ["a"]

    def test_slow_failing_call_shortens_the_grace_period(self, monkeypatch):
        """Replicas that left must not get requests beyond the allowed time.

        A call to the store gets no answer. The store is reachable again at
        once, and a replica leaves. The call fails only seconds later. The
        grace period started then, as if the store had just recovered.
        """
        rig = Rig(monkeypatch, 60.0)
        rig.update("a", "b")
        rig.list.handle_store_reconnected(119.5)
        rig.update("a")
        assert rig.names == ["a"]

    def test_removed_at_once_without_an_outage(self, monkeypatch):
        rig = Rig(monkeypatch, 60.0)
        rig.update("a", "b")
        rig.update("a")
        assert rig.names == ["a"]


class TestLateEntry:
    def test_entry_of_an_ended_process_is_ignored(self, monkeypatch):
        """A restarted replica must not be listed as leaving.

        A replica writes that it drains, restarts under its id, and writes that
        it serves. The store applies the first write late, after the second.
        The last applied write was used, whichever process wrote it.
        """
        rig = Rig(monkeypatch, 60.0)
        old = fixtures.target("a", leaving=True, incarnation=1)
        new = fixtures.target("a", incarnation=2)
        received = []
        rig.list._on_change = received.append
        for entry in (old, new, old):
            rig.list.update([entry])
        assert received[-1] == [new]

    def test_incarnation_may_be_lower_after_a_clock_step(self, monkeypatch):
        rig = Rig(monkeypatch, 60.0)
        received = []
        rig.list._on_change = received.append
        for incarnation in (5, 3):
            rig.list.update([fixtures.target("a", incarnation=incarnation)])
        assert received[-1][0].incarnation == 3

    def test_entry_at_a_reused_address_is_ignored(self, monkeypatch):
        """Only the newer replica at an address may get requests.

        A replica crashes while disconnected and restarts with a new id at its
        address; then the last heartbeat of the old process is written. Both
        entries were used, and requests failed with 421 for seconds.
        """
        rig = Rig(monkeypatch, 60.0)
        old = fixtures.target("old", port=7)
        new = fixtures.target("new", port=7)
        other = fixtures.target("other", port=8)
        received = []
        rig.list._on_change = received.append
        for entries in (
            [old, other],
            [other],
            [other, new],
            [old, other, new],
        ):
            rig.list.update(entries)
        assert {target.replica for target in received[-1]} == {"new", "other"}

    def test_replica_that_returns_to_its_address_is_used(self, monkeypatch):
        rig = Rig(monkeypatch, 60.0)
        received = []
        rig.list._on_change = received.append
        old = fixtures.target("old", port=7)
        for entries in ([old], [], [old]):
            rig.list.update(entries)
        assert received[-1] == [old]

    def test_replicas_first_seen_together_are_both_used(self, monkeypatch):
        """A daemon that has just started must not ignore a running replica."""
        rig = Rig(monkeypatch, 60.0)
        received = []
        rig.list._on_change = received.append
        rig.list.update([fixtures.target(name, port=7) for name in "ab"])
        assert len(received[-1]) == 2
