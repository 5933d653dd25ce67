"""Entries of displaced chats: bounded, and moved with their home."""

from topazlug._generated import messages
from topazlug.routing import _displaced_chats


def displaced(chat, replica="r9", home="r0"):
    return messages.Displaced(
        group="pool", home=home, chat=chat, replica=replica
    )


def with_chats(count, *, capacity=100):
    made = _displaced_chats.DisplacedChats(capacity=capacity)
    for chat in range(count):
        made.record(displaced(chat))
    return made


class TestDisplacedChats:
    def test_least_recently_used_is_evicted_first(self):
        chats = with_chats(3, capacity=3)
        chats.find(0, home="r0")
        chats.record(displaced(3))
        found = [chats.find(n, home="r0") for n in range(4)]
        assert found == ["r9", None, "r9", "r9"]

    def test_chat_that_returned_to_its_home_is_removed(self):
        chats = with_chats(2)
        chats.record(displaced(1, replica=""))
        assert chats.find(1, home="r0") is None
        assert len(chats) == 1

    def test_entry_counts_only_for_the_home_it_was_recorded_for(self):
        """A chat must not be moved away from a healthy replica.

        A chat is displaced from its home. The home dies, and the next
        replica of its ranking, which has the same owner, becomes its home.
        The owner must not redirect requests for the new home to the replica
        recorded for the old home.
        """
        chats = with_chats(0)
        chats.record(displaced(7, home="r1", replica="r2"))
        assert chats.find(7, home="r3") is None
        assert chats.find(7, home="r1") == "r2"

    def test_entries_are_removed_with_their_home(self):
        chats = with_chats(2)
        chats.record(displaced(7, home="r1"))
        assert chats.remove_by_home({"r1"}) == {
            "r1": [displaced(7, home="r1")]
        }
        assert len(chats) == 2
        assert chats.remove_by_home({"r1"}) == {}
