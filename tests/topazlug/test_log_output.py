"""Lines are bounded, and a reader that stopped blocks nobody."""

import os

import gevent
import gevent.os
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures
from topazlug import _log_output

IMPORTANT = _log_output.Weight.IMPORTANT
COMMON = _log_output.Weight.COMMON


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
        made = output(pipe[1], claim_fakes.FakeClock())
        for number in range(5):
            made.write(f"line {number}", COMMON)
        assert os.read(pipe[0], 1000) == b"".join(
            b"line %d\n" % number for number in range(5)
        )

    def test_reader_that_stopped_blocks_nobody(self, pipe):
        """Symptom: all requests hang when the collector of logs is stuck.

        Sequence: nobody reads the pipe, it fills. Cause: the next line is
        written with a blocking call.
        """
        clock = claim_fakes.FakeClock()
        made = output(pipe[1], clock)
        for _ in range(3000):
            clock.advance(0.01)
            made.write("x" * 999, COMMON)
        assert made.dropped > 1000
        received = bytearray()

        def read():
            gevent.os.make_nonblocking(pipe[0])
            while len(received) < 999_000:
                received.extend(gevent.os.nb_read(pipe[0], 65536))

        gevent.spawn(read).get(timeout=10)
        assert received.count(b"\n") >= 990

    def test_failures_go_before_what_went_well(self, pipe):
        made = output(pipe[1], claim_fakes.FakeClock())
        for _ in range(2000):
            made.write("well", COMMON)
        before = made.dropped
        assert before
        made.write("failed", IMPORTANT)
        assert made.dropped == before

    def test_dropped_lines_are_told(self, pipe):
        clock = claim_fakes.FakeClock()
        made = output(pipe[1], clock)
        for _ in range(2000):
            made.write("well", COMMON)
        clock.advance(2.0)
        made.write("after", COMMON)
        routing_fixtures.wait_until(lambda: made._writer is None)
        told = os.read(pipe[0], 1_000_000).decode().splitlines()[-2]
        assert f'"dropped": {made.dropped}' in told
