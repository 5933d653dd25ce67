"""Rendezvous hashing: a change of candidates moves only their share."""

from hypothesis import given
from hypothesis import strategies

from topazlug.routing import _ranking

NAMES = strategies.sets(
    strategies.text("abcdef0123", min_size=1, max_size=4), min_size=2
)
CHATS = [_ranking.chat_hash("chat", str(number)) for number in range(200)]


def home_by_chat(names):
    return {chat: _ranking.first(names, chat) for chat in CHATS}


class TestRank:
    @given(NAMES, strategies.integers(1, 20))
    def test_order_does_not_depend_on_the_candidates_order(self, names, count):
        ordered = _ranking.rank(sorted(names), CHATS[0], count=count)
        assert _ranking.rank(
            sorted(names, reverse=True), CHATS[0], count=count
        ) == (ordered)
        assert len(ordered) == min(count, len(names))

    @given(NAMES, strategies.data())
    def test_removal_moves_only_the_chats_of_the_removed(self, names, data):
        gone = data.draw(strategies.sampled_from(sorted(names)))
        before = home_by_chat(names)
        after = home_by_chat(names - {gone})
        for chat in CHATS:
            assert before[chat] in (gone, after[chat])

    @given(NAMES, strategies.data())
    def test_removal_moves_chats_to_their_second_candidate(self, names, data):
        gone = data.draw(strategies.sampled_from(sorted(names)))
        for chat in CHATS[:20]:
            first, second = _ranking.rank(names, chat, count=2)
            if first == gone:
                assert _ranking.first(names - {gone}, chat) == second

    def test_new_candidate_takes_about_its_share(self):
        names = {f"r{number}" for number in range(9)}
        chats = [_ranking.chat_hash("c", str(n)) for n in range(5000)]
        taken = [
            chat
            for chat in chats
            if _ranking.first(names | {"new"}, chat) == "new"
        ]
        assert 400 < len(taken) < 600

    def test_no_candidates(self):
        assert _ranking.first([], CHATS[0]) is None

    def test_boundaries_between_parts_change_the_hash(self):
        assert _ranking.chat_hash("ab", "c") != _ranking.chat_hash("a", "bc")
