"""Displaced chats: remembered within bounds, handed over with homes."""

from topazlug._generated import messages
from topazlug.routing import _displaced


def note(chat, replica="r9", home="r0"):
    return messages.Displaced(
        group="pool", home=home, chat=chat, replica=replica
    )


def with_chats(count, *, capacity=100):
    made = _displaced.DisplacedChats(capacity=capacity)
    for chat in range(count):
        made.note(note(chat))
    return made


class TestDisplacedChats:
    def test_least_recently_used_is_forgotten_first(self):
        chats = with_chats(3, capacity=3)
        chats.find(0)
        chats.note(note(3))
        assert [chats.find(n) for n in range(4)] == ["r9", None, "r9", "r9"]

    def test_chat_that_came_home_is_forgotten(self):
        chats = with_chats(2)
        chats.note(note(1, replica=""))
        assert chats.find(1) is None
        assert len(chats) == 1

    def test_chats_go_with_their_home(self):
        chats = with_chats(2)
        chats.note(note(7, home="r1"))
        assert chats.take_out({"r1"}) == {"r1": [note(7, home="r1")]}
        assert len(chats) == 2
        assert chats.take_out({"r1"}) == {}
