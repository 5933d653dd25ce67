"""Displaced chats: remembered within bounds, handed over with homes."""

from topazlug._generated import messages
from topazlug.routing import _displaced_chats


def note(chat, replica="r9", home="r0"):
    return messages.Displaced(
        group="pool", home=home, chat=chat, replica=replica
    )


def with_chats(count, *, capacity=100):
    made = _displaced_chats.DisplacedChats(capacity=capacity)
    for chat in range(count):
        made.record(note(chat))
    return made


class TestDisplacedChats:
    def test_least_recently_used_is_forgotten_first(self):
        chats = with_chats(3, capacity=3)
        chats.find(0, home="r0")
        chats.record(note(3))
        found = [chats.find(n, home="r0") for n in range(4)]
        assert found == ["r9", None, "r9", "r9"]

    def test_chat_that_came_home_is_forgotten(self):
        chats = with_chats(2)
        chats.record(note(1, replica=""))
        assert chats.find(1, home="r0") is None
        assert len(chats) == 1

    def test_seat_counts_only_for_the_home_that_it_was_noted_for(self):
        """Symptom: a chat moves though its replica is well.

        Sequence: a chat is displaced from its home; the home dies, and the
        next in its rank, of the same owner, becomes its home. Cause: the
        owner answers for the new home with the seat of the one before.
        """
        chats = with_chats(0)
        chats.record(note(7, home="r1", replica="r2"))
        assert chats.find(7, home="r3") is None
        assert chats.find(7, home="r1") == "r2"

    def test_chats_go_with_their_home(self):
        chats = with_chats(2)
        chats.record(note(7, home="r1"))
        assert chats.remove_by_home({"r1"}) == {"r1": [note(7, home="r1")]}
        assert len(chats) == 2
        assert chats.remove_by_home({"r1"}) == {}
