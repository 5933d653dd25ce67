"""One request reads a context that several need."""

from topazlug.capacity import _context_reads
from topazlug.capacity import _slot_key

TURN = _context_reads.ReadState
CHAT = 77


def key(number):
    return _slot_key.SlotKey("d1", number)


class TestContextReads:
    def test_the_others_wait_for_the_first(self):
        """Symptom: engines read one prompt many times and all are late.

        Sequence: a chat's home is lost; its requests, at many daemons, turn
        to the next replica within the time that a prompt takes to be read.
        Cause: each was sent on at once, and the engine read it for each.
        """
        reads = _context_reads.ContextReads()
        assert reads.state(CHAT, now=0.0) is TURN.FIRST
        reads.begin(CHAT, key(1), now=0.0)
        assert reads.state(CHAT, now=0.1) is TURN.WAIT
        assert 0.0 < reads.wait(CHAT, now=0.1) <= 0.1
        reads.note_read(CHAT, now=0.2)
        assert reads.state(CHAT, now=0.2) is TURN.KNOWN

    def test_other_chats_do_not_wait(self):
        reads = _context_reads.ContextReads()
        reads.begin(CHAT, key(1), now=0.0)
        assert reads.state(CHAT + 1, now=0.0) is TURN.FIRST

    def test_next_one_reads_when_the_first_is_gone(self):
        reads = _context_reads.ContextReads()
        reads.begin(CHAT, key(1), now=0.0)
        reads.note_ended(key(1))
        assert reads.state(CHAT, now=0.1) is TURN.FIRST

    def test_word_that_was_lost_holds_nobody_up(self):
        reads = _context_reads.ContextReads()
        reads.begin(CHAT, key(1), now=0.0)
        assert reads.state(CHAT, now=3.0) is TURN.FIRST
        reads.begin(CHAT, key(2), now=3.0)
        reads.note_ended(key(1))
        assert reads.state(CHAT, now=3.1) is TURN.WAIT

    def test_context_in_use_stays_known(self):
        reads = _context_reads.ContextReads()
        reads.note_read(CHAT, now=0.0)
        reads.note_use(CHAT, now=25.0)
        assert reads.state(CHAT, now=50.0) is TURN.KNOWN
        assert reads.state(CHAT, now=90.0) is TURN.FIRST
