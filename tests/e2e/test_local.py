"""The embedded default as its own process."""

import signal
import subprocess
import sys

from marigoldsill.transport import http_client
from tests import processes


def test_demo_verifies_every_step_and_says_ok() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "marigoldsill", "local", "--demo"],
        capture_output=True,
        text=True,
        timeout=processes.WAIT_LIMIT_S * 2,
        check=False,
    )

    assert done.returncode == 0, done.stderr
    assert done.stdout.splitlines()[-1] == "demo: ok"
    assert "Traceback" not in done.stderr


def test_local_serves_until_ctrl_c_and_ends_without_a_traceback(
    system: processes.System,
) -> None:
    local = processes.Process(
        ["marigoldsill", "local"], log=system.folder / "local.log"
    )
    system.processes["local"] = local
    address = local.wait_for(r"callers: +http://([^/]+)/")[1]
    assert http_client.fetch(f"http://{address}/health", timeout_s=10.0)

    local.send(signal.SIGINT)

    assert local.wait() == 0
    assert "Traceback" not in local.text()
