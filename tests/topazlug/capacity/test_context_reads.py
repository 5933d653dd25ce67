"""Only one request reads a context that several need."""

from topazlug.capacity import _context_reads
from topazlug.capacity import _slot_key

STATE = _context_reads.ReadState
CHAT = 77


def key(number):
    return _slot_key.SlotKey("d1", number)


class TestContextReads:
    def test_other_requests_wait_for_the_first(self):
        """Engines must not read the same prompt for many requests.

        A chat's home is lost. Its requests arrive at many daemons and go to
        the next replica within the time that it takes to read a prompt. Each
        was forwarded at once, and the engine read the prompt for each.
        """
        reads = _context_reads.ContextReads()
        assert reads.state(CHAT, now=0.0) is STATE.FIRST
        reads.begin(CHAT, key(1), now=0.0)
        assert reads.state(CHAT, now=0.1) is STATE.WAIT
        assert 0.0 < reads.wait(CHAT, now=0.1) <= 0.1
        reads.record_read(CHAT, now=0.2)
        assert reads.state(CHAT, now=0.2) is STATE.KNOWN

    def test_other_chats_do_not_wait(self):
        reads = _context_reads.ContextReads()
        reads.begin(CHAT, key(1), now=0.0)
        assert reads.state(CHAT + 1, now=0.0) is STATE.FIRST

    def test_next_request_reads_if_the_first_ended(self):
        reads = _context_reads.ContextReads()
        reads.begin(CHAT, key(1), now=0.0)
        reads.record_end(key(1))
        assert reads.state(CHAT, now=0.1) is STATE.FIRST

    def test_lost_report_does_not_block_others(self):
        reads = _context_reads.ContextReads()
        reads.begin(CHAT, key(1), now=0.0)
        assert reads.state(CHAT, now=3.0) is STATE.FIRST
        reads.begin(CHAT, key(2), now=3.0)
        reads.record_end(key(1))
        assert reads.state(CHAT, now=3.1) is STATE.WAIT

    def test_context_in_use_stays_known(self):
        reads = _context_reads.ContextReads()
        reads.record_read(CHAT, now=0.0)
        reads.record_use(CHAT, now=25.0)
        assert reads.state(CHAT, now=50.0) is STATE.KNOWN
        assert reads.state(CHAT, now=90.0) is STATE.FIRST
