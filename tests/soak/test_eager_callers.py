"""The check of what stopping daemons do with long streams."""

from soak import _clients
from soak import _eager_callers
from soak import _expected

STOP = _eager_callers.Stop(daemon=0, began=10.0, ended=17.8, is_alone=True)
COMPLETE = b"".join(
    _expected.format_event("a", number)
    for number in range(1, _expected.LONG_EVENTS + 1)
)


def outcome(**changes):
    values = {
        "attempt": "a",
        "path": _expected.LONG,
        "daemon": 0,
        "started": 14.0,
        "ended": 17.65,
        "completion": _clients.Completion.TRUNCATED,
        "status": 200,
        "body": b"",
        "signed": True,
        "reused": True,
    }
    return _clients.Outcome(**{**values, **changes})


def kinds(one, *, stop=STOP, ran=("a",)):
    found = _eager_callers.check([one], [stop], ran)
    return [line.split()[0] for line in found]


class TestCheck:
    def test_late_stream_that_was_cut_off(self):
        assert kinds(outcome()) == ["LOST"]

    def test_stream_that_was_sent_early(self):
        assert kinds(outcome(started=12.9)) == []

    def test_stream_that_its_replica_broke(self):
        assert kinds(outcome(ended=15.0)) == []

    def test_stream_of_the_next_process(self):
        """A stop was blamed for what the next process of its daemon lost."""
        sent_to_next = outcome(started=16.1, ended=18.72)
        assert kinds(sent_to_next, stop=STOP._replace(ended=13.6)) == []

    def test_stream_that_did_not_run(self):
        assert kinds(outcome(), ran=()) == []

    def test_daemon_that_was_disrupted_otherwise(self):
        assert kinds(outcome(), stop=STOP._replace(is_alone=False)) == []

    def test_refused_stream_that_ran(self):
        answered = _clients.Completion.ANSWERED
        refused = outcome(completion=answered, status=503)
        assert kinds(refused) == ["REFUSED"]
        assert kinds(refused, ran=()) == []

    def test_stream_that_looks_complete(self):
        answered = _clients.Completion.ANSWERED
        short = outcome(completion=answered, body=COMPLETE[:-30])
        assert kinds(short) == ["MIXED"]
        assert kinds(outcome(completion=answered, body=COMPLETE)) == []

    def test_stop_that_takes_too_long(self):
        assert kinds(outcome(ended=15.0), stop=STOP._replace(ended=19.0)) == [
            "STOP"
        ]
