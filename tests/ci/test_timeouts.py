import gevent
import pytest


class TestTimeouts:
    def test_timeout_in_another_greenlet_fails_the_test(self):
        """A timeout raised in another greenlet must fail the test.

        The signal of pytest-timeout arrives while a greenlet runs that the
        test waits for. The failure then ended only that greenlet and was
        printed, the test continued, and a run passed although it took minutes
        longer than its timeouts allow.
        """
        with pytest.raises(pytest.fail.Exception, match="too long"):
            gevent.spawn(pytest.fail, "too long").join()
