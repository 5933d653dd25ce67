"""The list of replicas around an outage of the store."""

from tests.topazlug import routing_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _clock
from topazlug.placement import _replica_list


class Rig:
    def __init__(self, monkeypatch, seconds):
        monkeypatch.setattr(_replica_list, "_RETURN_SECONDS", seconds)
        self.names = []
        self.list = _replica_list.ReplicaList(
            on_change=self._take,
            unreachable=120.0,
            clock=_clock.SystemClock(),
        )

    def _take(self, targets):
        self.names = sorted(target.replica for target in targets)

    def take(self, *names, leaving=()):
        self.list.take(
            fixtures.target(name, leaving=name in leaving, port=ord(name))
            for name in names
        )


class TestReplicaList:
    def test_lapsed_entries_stay_until_they_may_be_back(self, monkeypatch):
        """Symptom: all requests are refused right after an outage.

        Sequence: the store is away, all entries lapse; it returns with an
        empty list, and the replicas write theirs a second later. Cause:
        the list was taken at its word.
        """
        rig = Rig(monkeypatch, 60.0)
        rig.take("a", "b")
        rig.list.note_store_reconnected(0.0)
        rig.take()
        assert rig.names == ["a", "b"]
        rig.take("a")
        assert rig.names == ["a", "b"]

    def test_who_does_not_come_back_is_gone(self, monkeypatch):
        rig = Rig(monkeypatch, 0.05)
        rig.take("a", "b")
        rig.list.note_store_reconnected(0.0)
        rig.take("a")
        routing_fixtures.wait_until(lambda: rig.names == ["a"])

    def test_leaving_replica_is_not_kept(self, monkeypatch):
        rig = Rig(monkeypatch, 60.0)
        rig.take("a", "b", leaving=["b"])
        rig.list.note_store_reconnected(0.0)
        rig.take("a")
        assert rig.names == ["a"]

    def test_call_that_was_long_unanswered_shortens_the_time(
        self, monkeypatch
    ):
        """Symptom: a replica gets requests after it must be known to be gone.

        Sequence: a call falls silent; the store is back at once, and a
        replica leaves; the call is given up seconds later. Cause: entries
        were kept from then on, as if the store had just come back.
        """
        rig = Rig(monkeypatch, 60.0)
        rig.take("a", "b")
        rig.list.note_store_reconnected(119.5)
        rig.take("a")
        assert rig.names == ["a"]

    def test_without_an_outage_gone_is_gone(self, monkeypatch):
        rig = Rig(monkeypatch, 60.0)
        rig.take("a", "b")
        rig.take("a")
        assert rig.names == ["a"]


class TestLateEntry:
    def test_entry_of_an_ended_start_is_left(self, monkeypatch):
        """Symptom: a replica that is back is taken to be leaving.

        Sequence: it writes that it drains, starts again under its id, and
        writes that it serves; the store then takes the first entry, late.
        Cause: the newest write was believed, whichever start wrote it.
        """
        rig = Rig(monkeypatch, 60.0)
        old = fixtures.target("a", leaving=True, incarnation=1)
        new = fixtures.target("a", incarnation=2)
        seen = []
        rig.list._on_change = seen.append
        for entry in (old, new, old):
            rig.list.take([entry])
        assert seen[-1] == [new]

    def test_start_after_the_clock_went_back_counts(self, monkeypatch):
        rig = Rig(monkeypatch, 60.0)
        seen = []
        rig.list._on_change = seen.append
        for start in (5, 3):
            rig.list.take([fixtures.target("a", incarnation=start)])
        assert seen[-1][0].incarnation == 3

    def test_entry_at_an_address_that_was_taken_over_is_left(
        self, monkeypatch
    ):
        """Symptom: requests are refused with 421 for seconds after a cut.

        Sequence: a replica crashes behind a cut and starts again with a new
        id at its address; then the old start's last heartbeat is written.
        Cause: two entries of one address were both believed.
        """
        rig = Rig(monkeypatch, 60.0)
        old = fixtures.target("old", port=7)
        new = fixtures.target("new", port=7)
        other = fixtures.target("other", port=8)
        seen = []
        rig.list._on_change = seen.append
        for entries in (
            [old, other],
            [other],
            [other, new],
            [old, other, new],
        ):
            rig.list.take(entries)
        assert {target.replica for target in seen[-1]} == {"new", "other"}

    def test_replica_that_comes_back_alone_counts(self, monkeypatch):
        rig = Rig(monkeypatch, 60.0)
        seen = []
        rig.list._on_change = seen.append
        old = fixtures.target("old", port=7)
        for entries in ([old], [], [old]):
            rig.list.take(entries)
        assert seen[-1] == [old]

    def test_two_that_were_first_seen_together_both_count(self, monkeypatch):
        """Symptom: a daemon that has just started leaves a live one out."""
        rig = Rig(monkeypatch, 60.0)
        seen = []
        rig.list._on_change = seen.append
        rig.list.take([fixtures.target(name, port=7) for name in "ab"])
        assert len(seen[-1]) == 2
