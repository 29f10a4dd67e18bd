"""Prints the script that completes commands in a shell."""

import click
from click import shell_completion

from marigoldsill import cli

_PROGRAM = "marigoldsill"
_VARIABLE = "_MARIGOLDSILL_COMPLETE"


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Prints the completion script of a SHELL, to be sourced there."""
    completer = shell_completion.get_completion_class(shell)(
        cli.main, {}, _PROGRAM, _VARIABLE
    )
    # BashComplete.source() starts bash to learn its version; a process of
    # ours starts none, so the plain form of the base class is taken.
    click.echo(shell_completion.ShellComplete.source(completer))
