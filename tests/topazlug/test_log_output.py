"""Non-blocking, bounded output of log lines."""

import os

import gevent
import gevent.os
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures
from topazlug import _log_output

IMPORTANT = _log_output.LinePriority.IMPORTANT
COMMON = _log_output.LinePriority.COMMON


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def output(writer, clock):
    return _log_output.BoundedOutput(descriptor=writer, clock=clock)


class TestBoundedOutput:
    def test_lines_arrive_in_order(self, pipe):
        bounded_output = output(pipe[1], claim_fakes.FakeClock())
        for number in range(5):
            bounded_output.write(f"line {number}", COMMON)
        assert os.read(pipe[0], 1000) == b"".join(
            b"line %d\n" % number for number in range(5)
        )

    def test_output_does_not_block_when_nobody_reads(self, pipe):
        """Guards against requests that hang when the log collector hangs.

        Nobody reads the pipe, so it fills up. A blocking write of the next
        line would block the daemon.
        """
        clock = claim_fakes.FakeClock()
        bounded_output = output(pipe[1], clock)
        for _ in range(3000):
            clock.advance(0.01)
            bounded_output.write("x" * 999, COMMON)
        assert bounded_output.dropped > 1000
        received = bytearray()

        def read():
            gevent.os.make_nonblocking(pipe[0])
            while len(received) < 999_000:
                received.extend(gevent.os.nb_read(pipe[0], 65536))

        gevent.spawn(read).get(timeout=10)
        assert received.count(b"\n") >= 990

    def test_important_lines_are_kept_over_common_ones(self, pipe):
        bounded_output = output(pipe[1], claim_fakes.FakeClock())
        for _ in range(2000):
            bounded_output.write("well", COMMON)
        before = bounded_output.dropped
        assert before
        bounded_output.write("failed", IMPORTANT)
        assert bounded_output.dropped == before

    def test_dropped_lines_are_reported(self, pipe):
        clock = claim_fakes.FakeClock()
        bounded_output = output(pipe[1], clock)
        for _ in range(2000):
            bounded_output.write("well", COMMON)
        clock.advance(2.0)
        bounded_output.write("after", COMMON)
        routing_fixtures.wait_until(lambda: bounded_output._writer is None)
        report = os.read(pipe[0], 1_000_000).decode().splitlines()[-2]
        assert f'"dropped": {bounded_output.dropped}' in report
