"""The command line: one program with a subcommand for each role and operation.

The module of a command is imported only when the command is used, so that an agent
does not load what only other commands need.
"""

import click

from marigoldsill.cli import groups

__all__ = ["main"]

_COMMANDS = {
    "entry": "marigoldsill.cli.roles:entry",
    "control": "marigoldsill.cli.roles:control",
    "agent": "marigoldsill.cli.roles:agent",
    "local": "marigoldsill.cli.local:local",
    "platform": "marigoldsill.cli.platform:platform",
    "plan": "marigoldsill.cli.plans:plan",
    "confirm": "marigoldsill.cli.plans:confirm",
    "status": "marigoldsill.cli.queries:status",
    "explain": "marigoldsill.cli.queries:explain",
    "audit": "marigoldsill.cli.queries:audit",
    "explain-logs": "marigoldsill.cli.logs:explain_logs",
    "check": "marigoldsill.cli.check:check",
    "completion": "marigoldsill.cli.completion:completion",
}


@click.group(cls=groups.LazyGroup, commands_by_name=_COMMANDS)
@click.version_option(package_name="marigoldsill")
def main() -> None:
    """A scheduler for colocated latency-critical and batch work."""
