"""Tests of the chats of the load generator."""

import random

import pytest

from bench.load import workload

TEAMS = workload.team_shares([(f"team-{n}", f"key-{n}") for n in range(10)])


def _phase(name: str, start: float, end: float, rate: float) -> workload.Phase:
    return workload.Phase(
        name=name, start=start, end=end, measured=True, rate=rate
    )


def _chat(seed: int = 1) -> workload.Chat:
    return workload.Chat(
        name=f"chat-{seed}",
        team=TEAMS[0],
        sizes=workload.Sizes(),
        randomness=random.Random(seed),
    )


class TestTeams:
    def test_shares_add_up(self) -> None:
        assert sum(team.share for team in TEAMS) == pytest.approx(1.0)

    def test_surge_shifts_load_and_keeps_its_total(self) -> None:
        rates = workload.surge_rates(TEAMS, share=0.6)
        load = {team.name: team.share * rates[team.name] for team in TEAMS}
        assert sum(load.values()) == pytest.approx(1.0)
        assert load["team-0"] == pytest.approx(0.6)


class TestWakeTime:
    def test_within_one_phase(self) -> None:
        phases = [_phase("quiet", 0.0, 10.0, 2.0)]
        at = workload.next_turn_time(phases, "team", now=1.0, think_time=4.0)
        assert at == pytest.approx(3.0)

    def test_new_phase_changes_the_pace_of_the_rest(self) -> None:
        phases = [
            _phase("quiet", 0.0, 2.0, 1.0),
            _phase("overload", 2.0, 10.0, 4.0),
        ]
        at = workload.next_turn_time(phases, "team", now=1.0, think_time=5.0)
        assert at == pytest.approx(3.0)

    def test_after_the_last_phase(self) -> None:
        phases = [_phase("quiet", 0.0, 2.0, 1.0)]
        at = workload.next_turn_time(phases, "team", now=1.0, think_time=5.0)
        assert at > phases[-1].end


class TestChat:
    def test_first_turn_has_no_reusable_tokens(self) -> None:
        assert _chat().reusable_tokens == 0

    def test_later_turn_reuses_question_and_answer(self) -> None:
        chat = _chat()
        chat.add_answer("q" * 40, "a" * 20)
        assert chat.reusable_tokens == 11 + 6

    def test_request_contains_earlier_messages(self) -> None:
        chat = _chat()
        chat.add_answer("first", "answer")
        body = chat.body("model", "second", 5)
        messages = [message.content for message in body["messages"]]
        assert messages == ["first", "answer", "second"]

    def test_same_seed_gives_the_same_question(self) -> None:
        assert _chat(7).next_question() == _chat(7).next_question()
