"""Incrementally updated owners equal those of a full ranking."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from topazlug import _ids
from topazlug.routing import _ownership
from topazlug.routing import _ranking

DAEMONS = strategies.sets(strategies.sampled_from([f"d{n}" for n in range(8)]))
REPLICAS = strategies.sets(
    strategies.sampled_from([f"r{n}" for n in range(12)])
)


def full_ranking(daemons, replicas):
    return {
        replica: _ranking.first(daemons, _ranking.chat_hash("owner", replica))
        for replica in replicas
    }


def owners(ownership, replicas):
    return {replica: ownership.owner_of(replica) for replica in replicas}


class TestUpdate:
    @settings(max_examples=200)
    @given(strategies.lists(strategies.tuples(DAEMONS, REPLICAS), max_size=6))
    def test_equals_a_full_ranking(self, steps):
        ownership = _ownership.Ownership()
        owner_by_replica = {}
        for daemons, replicas in steps:
            for change in ownership.update(daemons=daemons, replicas=replicas):
                assert owner_by_replica.get(change.replica) == change.before
                owner_by_replica[change.replica] = change.after
            expected = full_ranking(daemons, replicas)
            assert owners(ownership, replicas) == expected
            assert {r: d for r, d in owner_by_replica.items() if d} == {
                r: d for r, d in expected.items() if d
            }

    def test_callbacks_receive_changes_once(self):
        ownership = _ownership.Ownership()
        received = []
        ownership.on_transfer(received.extend)
        for _ in range(2):
            ownership.update(daemons=["d1"], replicas=["r1"])
        assert received == [_ownership.Transfer("r1", None, "d1")]

    def test_owned_by(self):
        ownership = _ownership.Ownership()
        ownership.update(daemons=["d1"], replicas=["r1", "r2"])
        assert sorted(ownership.owned_by(_ids.DaemonId("d1"))) == ["r1", "r2"]
        assert ownership.owned_by(_ids.DaemonId("d2")) == []
