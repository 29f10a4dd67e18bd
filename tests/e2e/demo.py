"""The demo of the embedded default, and what it has to say."""

import subprocess

from tests import processes


def assert_ok(*command: str, environment: dict[str, str] | None = None) -> None:
    """Runs a command's demo; it must end well, without a traceback."""
    done = subprocess.run(
        [*command, "local", "--demo"],
        capture_output=True,
        text=True,
        env=environment,
        timeout=processes.WAIT_LIMIT_S * 2,
        check=False,
    )

    assert done.returncode == 0, done.stderr
    assert done.stdout.splitlines()[-1] == "demo: ok"
    assert "Traceback" not in done.stderr
