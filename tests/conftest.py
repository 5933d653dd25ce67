"""Settings of all tests.

The daemon runs under gevent's patches, so its tests do. They come before all
other imports: a module that took the unpatched socket or lock would block
the whole test run instead of one greenlet.
"""

from gevent import monkey

monkey.patch_all()

import gc  # noqa: E402

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


@pytest.fixture(scope="module", autouse=True)
def _short_collections():
    """Exempt what other tests have left from the collection of garbage.

    The objects of thousands of tests hold this process up for up to 0.3 s at
    each full collection. Daemons under test take that for a pause of their
    own, and those of them that wait for it for a fault of the others.
    """
    gc.collect()
    gc.freeze()
