"""Settings of all tests.

The daemon runs under gevent's patches, so its tests do. They come before all
other imports: a module that took the unpatched socket or lock would block
the whole test run instead of one greenlet.
"""

from gevent import monkey

monkey.patch_all()

from gevent import hub  # noqa: E402
import hypothesis  # noqa: E402
import pytest  # noqa: E402

# One verdict for one tree: the same examples in each run, and no failure
# because the machine was busy.
hypothesis.settings.register_profile(
    "ci", derandomize=True, max_examples=100, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")

# pytest-timeout raises its failure in whichever greenlet runs when the signal
# comes. In another than the test's own, gevent would print it and go on: the
# test passes late, or hangs. gevent hands these to the main greenlet instead.
hub.Hub.SYSTEM_ERROR += (pytest.fail.Exception,)
