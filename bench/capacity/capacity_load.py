"""Steady light load on all daemons of a fleet, from one process."""

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402

from bench.fleets import fleet_calls  # noqa: E402

_CHATS = 400
_DRAIN_SECONDS = 10.0
_MAX_SECONDS = 120.0


@click.command()
@click.argument("ports", nargs=-1, type=int, required=True)
@click.option("--key", required=True)
@click.option("--model", required=True)
@click.option(
    "--rate", required=True, type=float, help="Requests per second per daemon."
)
@click.option("--tokens", required=True, type=int)
@click.option("--seconds", required=True, type=float)
def main(
    ports: tuple[int, ...],
    key: str,
    model: str,
    rate: float,
    tokens: int,
    seconds: float,
) -> None:
    """Call each port at random times; print the total and complete calls."""
    seconds = min(seconds, _MAX_SECONDS)
    end = time.monotonic() + seconds
    calls: list[gevent.Greenlet] = []

    def call_daemon(port: int, number: int) -> bool:
        answer = fleet_calls.chat(
            f"http://127.0.0.1:{port}",
            key=key,
            question=f"question {port} {number}",
            model=model,
            chat_id=f"chat-{random.randrange(_CHATS)}",
            tokens=tokens,
            timeout=20.0,
        )
        return answer.ending is fleet_calls.Ending.WHOLE

    def send_calls(port: int) -> None:
        number = 0
        while True:
            gevent.sleep(random.expovariate(rate))
            if time.monotonic() > end:
                return
            number += 1
            calls.append(gevent.spawn(call_daemon, port, number))

    gevent.joinall([gevent.spawn(send_calls, port) for port in ports])
    gevent.joinall(calls, timeout=_DRAIN_SECONDS)
    whole = sum(bool(call.value) for call in calls)
    click.echo(f"{len(calls)} {whole}")


if __name__ == "__main__":
    main()
