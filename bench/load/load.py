"""A load generator that runs chats against the daemons' port for callers."""

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import hashlib  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import resource  # noqa: E402
import time  # noqa: E402
from typing import final  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402

from bench.load import chat_caller  # noqa: E402
from bench.load import workload  # noqa: E402
from bench.reports import records  # noqa: E402

_HEALTH_INTERVAL = 0.5
_UNHEALTHY_FAILURES = 2
_DRAIN_SECONDS = 12.0


@final
class Balancer:
    """Selects daemons at random, as the platform's load balancer does.

    Parameters
    ----------
    entries : list of Entry
        The daemons.
    randomness : random.Random
        A seeded generator.
    """

    def __init__(
        self, entries: list[workload.Entry], *, randomness: random.Random
    ) -> None:
        self._entries = entries
        self._randomness = randomness
        self._failures = collections.Counter[str]()

    def choose(self) -> workload.Entry:
        """Return a random healthy daemon, or any if none is healthy."""
        healthy = [
            entry
            for entry in self._entries
            if self._failures[entry.name] < _UNHEALTHY_FAILURES
        ]
        return self._randomness.choice(healthy or self._entries)

    def mark_unhealthy(self, entry: workload.Entry) -> None:
        """Exclude a daemon until it passes a health check."""
        self._failures[entry.name] = _UNHEALTHY_FAILURES

    def check_forever(self, entry: workload.Entry) -> None:
        """Check the health of a daemon periodically."""
        while True:
            if chat_caller.is_ready(entry.administration_port):
                self._failures[entry.name] = 0
            else:
                self._failures[entry.name] += 1
            gevent.sleep(_HEALTH_INTERVAL)


@final
class Generator:
    """Runs the chats of one load generator.

    Parameters
    ----------
    plan : Plan
        The chats to run and their schedule.
    """

    def __init__(self, plan: workload.Plan) -> None:
        self._plan = plan
        randomness = random.Random(f"{plan.seed}/{plan.worker}")
        self._randomness = randomness
        self._balancer = Balancer(plan.entries, randomness=randomness)
        self._chat_count = 0
        self.turns: list[records.Turn] = []
        self.gaps = collections.Counter[int]()

    def run(self) -> None:
        """Run all chats until the plan's end."""
        checks = [
            gevent.spawn(self._balancer.check_forever, entry)
            for entry in self._plan.entries
        ]
        count = self._plan.sizes.chats // self._plan.workers
        teams = self._assigned_teams(count)
        chats = [gevent.spawn(self._run_chat, team) for team in teams]
        remaining = self._plan.end - time.time() + _DRAIN_SECONDS
        gevent.joinall(chats, timeout=remaining)
        gevent.killall(chats + checks)

    def _assigned_teams(self, count: int) -> list[workload.TeamShare]:
        teams: list[workload.TeamShare] = []
        for team in self._plan.teams:
            teams += [team] * round(team.share * count)
        return teams

    def _new_chat(self, team: workload.TeamShare) -> workload.Chat:
        self._chat_count += 1
        plan = self._plan
        name = f"{plan.seed}-{plan.worker}-{self._chat_count}"
        return workload.Chat(
            name=name,
            team=team,
            sizes=plan.sizes,
            randomness=random.Random(name),
        )

    def _run_chat(self, team: workload.TeamShare) -> None:
        chat = self._new_chat(team)
        now = self._plan.start
        question = ""
        while True:
            turn_at = workload.next_turn_time(
                self._plan.phases,
                team.name,
                now=now,
                think_time=chat.draw_think_time(),
            )
            if turn_at >= self._plan.end:
                return
            gevent.sleep(max(0.0, turn_at - time.time()))
            question = question or chat.next_question()
            if self._send_turn(chat, question):
                question = ""
            if chat.is_over:
                chat = self._new_chat(team)
            now = time.time()

    def _send_turn(self, chat: workload.Chat, question: str) -> bool:
        tokens = chat.draw_answer_tokens()
        sent = time.time()
        request = chat_caller.ChatRequest(
            key=chat.team.key,
            chat=chat.name,
            body=chat.body(self._plan.model, question, tokens),
            deadline=self._plan.sizes.deadline,
        )
        answer, entry = self._send_request(request)
        code = answer.code
        if answer.is_whole and answer.text != _expected(question, tokens):
            code = records.WRONG_ANSWER
        self.turns.append(
            records.Turn(
                team=chat.team.name,
                turn=chat.turn,
                entry=entry.name,
                sent=sent,
                first=answer.first_at - sent if answer.first_at else None,
                end=time.time() - sent,
                code=code,
                replica=answer.replica,
                cached=answer.cached,
                reusable=chat.reusable_tokens,
                chat=chat.name,
            )
        )
        for gap in answer.gaps:
            self.gaps[min(records.LONGEST_GAP, round(gap * 1000))] += 1
        if answer.is_whole:
            chat.add_answer(question, answer.text)
        return answer.is_whole

    def _send_request(
        self, request: chat_caller.ChatRequest
    ) -> tuple[chat_caller.ChatAnswer, workload.Entry]:
        """Send a request, trying another daemon if one refuses to connect."""
        for _ in self._plan.entries:
            entry = self._balancer.choose()
            try:
                return chat_caller.send(entry.callers_port, request), entry
            except chat_caller.ConnectionRefused:
                self._balancer.mark_unhealthy(entry)
        return chat_caller.ChatAnswer(code=records.NO_ENTRY), entry


def _expected(question: str, tokens: int) -> str:
    digest = hashlib.sha256(question.encode()).hexdigest()[:8]
    return "".join(f"{digest}-{index} " for index in range(tokens))


@click.command()
@click.argument("plan_path", type=click.Path(path_type=pathlib.Path))
@click.argument("result_path", type=click.Path(path_type=pathlib.Path))
def main(plan_path: pathlib.Path, result_path: pathlib.Path) -> None:
    """Run a plan and write the results."""
    plan = msgspec.json.decode(plan_path.read_bytes(), type=workload.Plan)
    generator = Generator(plan)
    generator.run()
    usage = resource.getrusage(resource.RUSAGE_SELF)
    result = records.LoadResult(
        turns=generator.turns,
        gaps=dict(generator.gaps),
        processor_seconds=usage.ru_utime + usage.ru_stime,
    )
    result_path.write_bytes(msgspec.json.encode(result))
    click.echo("DONE")


if __name__ == "__main__":
    main()
