"""The command that prints shell completion scripts."""

import click
from click import shell_completion

from marigoldsill import cli

_PROGRAM = "marigoldsill"
_VARIABLE = "_MARIGOLDSILL_COMPLETE"


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Prints the completion script for a SHELL, which the shell has to source."""
    completer = shell_completion.get_completion_class(shell)(
        cli.main, {}, _PROGRAM, _VARIABLE
    )
    # BashComplete.source() runs bash to check its version. marigoldsill starts no
    # other processes, so the base class's method is used.
    click.echo(shell_completion.ShellComplete.source(completer))
