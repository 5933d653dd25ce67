"""Commands on blocked requests: blocked, release."""

import click

from topazlug.cli import _client
from topazlug.cli import _context
from topazlug.cli import _output


@click.command()
@_context.pass_context
def blocked(context: _context.CommandContext) -> None:
    """Show requests blocked because they crash targets."""
    answer = context.client.get("/v1/blocked")
    if context.is_table:
        _output.write_rows(answer["blocked"])
    else:
        context.write(answer)


@click.command()
@click.argument("fingerprint")
@_context.pass_context
def release(context: _context.CommandContext, fingerprint: str) -> None:
    """Unblock a request."""
    path = _client.api_path("blocked", fingerprint)
    context.write(context.client.delete(path))
