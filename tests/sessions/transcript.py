"""Runs an operator's commands and writes down what they print."""

import re
import subprocess

from tests import processes

_STABLE = (
    (re.compile(r"\d{4}-\d\d-\d\d[T ]\d\d:\d\d:\d\d\S*"), "<time>"),
    (re.compile(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}"), "<id>"),
    (re.compile(r"\b127\.0\.0\.1:\d+"), "<address>"),
    (re.compile(r"\b1[6-9]\d{11}\b"), "<unix_ms>"),
    (re.compile(r"\b\d{17,20}\b"), "<number>"),
    (re.compile(r"(?<=\bterm: )\d+"), "<term>"),
    # Columns are as wide as what was replaced, so widths are not kept.
    (re.compile(r"(?<=\S) {2,}(?=\S)"), "  "),
)


def stable(text: str) -> str:
    """Replaces what differs between two runs of the same session."""
    for pattern, replacement in _STABLE:
        text = pattern.sub(replacement, text)
    return text


class Transcript:
    """Commands of operators with their answers, as a terminal shows them."""

    def __init__(self, system: processes.System):
        self._system = system
        self._lines: list[str] = []

    def note(self, text: str) -> None:
        """Adds a line that says what happens next."""
        self._lines.append(f"# {text}\n")

    def run(self, *arguments: str, operator: str = "desk-1") -> None:
        """Runs a command and adds its answer."""
        done = self._system.command(
            *arguments, "--operator", operator, "--output", "table"
        )
        shown = " ".join(arguments).replace(f"{self._system.folder}/", "")
        self._lines.append(f"{operator}$ marigoldsill {shown}\n")
        self._lines.append(_answer(done))

    def text(self) -> str:
        """The session so far."""
        folder = str(self._system.folder)
        return stable("\n".join(self._lines).replace(folder, "<folder>"))


def _answer(done: subprocess.CompletedProcess) -> str:
    status = f"exit {done.returncode}\n" if done.returncode else ""
    return done.stdout + done.stderr + status
