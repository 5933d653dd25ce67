import gevent
import pytest


class TestTimeouts:
    def test_in_another_greenlet_fail_the_test(self):
        """A test that hangs and is reported as passed.

        Symptom: a run takes minutes longer than its timeouts allow, and is
        green. Sequence: the signal of pytest-timeout comes while a greenlet
        runs that the test waits for. Cause: the failure ends that greenlet
        and is printed, and the test goes on.
        """
        with pytest.raises(pytest.fail.Exception, match="too long"):
            gevent.spawn(pytest.fail, "too long").join()
