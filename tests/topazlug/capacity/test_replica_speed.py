"""The slowness of a replica, from its reports."""

from topazlug.capacity import _replica_speed


class TestReplicaSpeed:
    def test_nothing_is_reported(self):
        speed = _replica_speed.ReplicaSpeed()
        assert not speed.is_reported
        assert speed.current(now=1.0) == speed.sustained(now=1.0) == 1.0

    def test_old_figure_does_not_describe_the_moment(self):
        """A replica got no prompts for seconds after one slow moment."""
        speed = _replica_speed.ReplicaSpeed()
        for step in range(20):
            speed.record(1.0, now=step / 10)
        speed.record(2.5, now=2.0)
        assert speed.current(now=2.1) == 2.5
        assert speed.current(now=3.0) < 1.3
