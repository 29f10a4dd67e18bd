"""The command that runs all roles in one process."""

import click

from marigoldsill import setting_sources
from marigoldsill import settings as settings_module
from marigoldsill.cli import options
from marigoldsill.transport import logs


@click.command()
@options.add_settings_flags(settings_module.LocalSettings)
@click.option(
    "--demo",
    is_flag=True,
    help="Runs the demo, checks each step, prints 'demo: ok' and exits.",
)
def local(demo: bool, **flags: str | None) -> None:
    """Runs all roles and stand-in workers in one process."""
    settings = setting_sources.load(settings_module.LocalSettings, flags)
    logs.set_up(role="local", name="local", level=settings.log_level)
    from marigoldsill.roles import demo as demo_module
    from marigoldsill.roles import local as local_module

    if demo:
        demo_module.run(settings, print_line=click.echo)
    else:
        local_module.run(settings, print_line=click.echo)
