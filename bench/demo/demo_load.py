"""Steady load from one team, to try out limits on a running fleet."""

import collections
import random
import threading
import time
from typing import final
from urllib import parse

import click

from bench.demo import demo_calls

_MAX_CALLERS = 200
_MAX_SECONDS = 300.0
_MAX_PAUSE = 1.0
_STREAM = {"stream": True}


@final
class Load:
    """Concurrent callers of one team, each with one request at a time.

    Parameters
    ----------
    ports : list of int
        Callers' ports of the daemons, chosen at random.
    key : str
        API key.
    model : str
        Model that is called.
    tokens : int
        Length of each answer in tokens.
    """

    def __init__(
        self, *, ports: list[int], key: str, model: str, tokens: int
    ) -> None:
        self._ports = ports
        self._key = key
        self._model = model
        self._tokens = tokens
        self.responses: list[demo_calls.Response] = []

    def run(self, *, callers: int, seconds: float) -> None:
        """Send calls until the time is over."""
        end = time.monotonic() + seconds
        threads = [
            threading.Thread(target=self._send_calls, args=(end,))
            for _ in range(callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send_calls(self, end: float) -> None:
        while time.monotonic() < end:
            response = demo_calls.send(self._call())
            self.responses.append(response)
            wait = float(response.header("Retry-After") or 0)
            time.sleep(min(wait, _MAX_PAUSE))

    def _call(self) -> demo_calls.Call:
        question = f"Question {random.random()}"
        return demo_calls.Call(
            port=random.choice(self._ports),
            path="/v1/chat/completions",
            key=self._key,
            body={
                "model": self._model,
                "messages": [{"role": "user", "content": question}],
                "max_tokens": self._tokens,
                **_STREAM,
            },
        )


def _print_results(load: Load) -> None:
    codes = collections.Counter(
        response.error_code or ("ok" if response.whole else "torn")
        for response in load.responses
    )
    for code, count in sorted(codes.items()):
        click.echo(f"{code:<24} {count:>7}")
    first_token_seconds = sorted(
        response.first for response in load.responses if response.status == 200
    )
    if not first_token_seconds:
        return
    for share in (0.5, 0.95, 0.99):
        value = first_token_seconds[
            min(
                len(first_token_seconds) - 1,
                int(share * len(first_token_seconds)),
            )
        ]
        click.echo(f"first token p{share * 100:<11.0f} {value * 1000:9.1f} ms")


@click.command()
@click.option(
    "--url",
    "urls",
    multiple=True,
    required=True,
    help="URL of a daemon; may be repeated.",
)
@click.option("--key", required=True, help="API key of the team.")
@click.option("--model", required=True)
@click.option("--callers", type=click.IntRange(1, _MAX_CALLERS), default=8)
@click.option("--tokens", default=20, help="Tokens per answer.")
@click.option("--seconds", type=click.FloatRange(0, _MAX_SECONDS), default=10)
def main(
    urls: tuple[str, ...],
    key: str,
    model: str,
    callers: int,
    tokens: int,
    seconds: float,
) -> None:
    """Send calls as one team and print a summary of the responses."""
    ports = [parse.urlsplit(url).port or 80 for url in urls]
    load = Load(ports=ports, key=key, model=model, tokens=tokens)
    load.run(callers=callers, seconds=seconds)
    _print_results(load)


if __name__ == "__main__":
    main()
