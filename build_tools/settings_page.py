"""Generates the settings reference from the settings classes.

Run as `python -m build_tools.settings_page > docs/settings.md`.
"""

from collections.abc import Iterator
import dataclasses

from marigoldsill import setting_sources
from marigoldsill import settings as settings_module

_INTRODUCTION = """\
# Settings

<!-- Written by `make docs` from marigoldsill/settings.py. -->

A setting is given by its flag or by its environment variable; the flag wins.
`marigoldsill check ROLE` with the same flags checks them without starting
anything. All wrong settings are reported at once, each with its value and what
is accepted. Operators' commands take the options shown by `--help`; their
variables are in the [operator's guide](operators-guide.md). Processes on the
users' platform have the platform's settings file besides.
"""
_SETTINGS_BY_COMMAND = {
    "marigoldsill entry": settings_module.EntrySettings,
    "marigoldsill control init": settings_module.ControlInitSettings,
    "marigoldsill control run": settings_module.ControlSettings,
    "marigoldsill control recover": settings_module.ControlRecoverSettings,
    "marigoldsill agent": settings_module.AgentSettings,
    "marigoldsill platform edge": settings_module.PlatformEdgeSettings,
    "marigoldsill platform side": settings_module.PlatformSideSettings,
    "marigoldsill local": settings_module.LocalSettings,
}


def render_page() -> str:
    """Returns the settings reference in Markdown."""
    sections = (
        "\n".join(_section_lines(command, settings_class))
        for command, settings_class in _SETTINGS_BY_COMMAND.items()
    )
    return "\n".join([_INTRODUCTION, *sections])


def _section_lines(command: str, settings_class: type) -> Iterator[str]:
    yield f"## `{command}`\n"
    yield "| flag | variable | default | meaning |"
    yield "| --- | --- | --- | --- |"
    for field in dataclasses.fields(settings_class):
        yield (
            f"| `{setting_sources.flag_of(field.name)}` "
            f"| `{setting_sources.variable_of(field.name)}` "
            f"| {_format_default(field)} | {field.metadata['help']} |"
        )
    yield ""


def _format_default(field: dataclasses.Field) -> str:
    if field.default is dataclasses.MISSING:
        return "must be given"
    text = str(field.default)
    return f"`{text}`" if text else "empty"


if __name__ == "__main__":
    print(render_page(), end="")
