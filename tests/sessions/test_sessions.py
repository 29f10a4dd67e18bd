"""Whole sessions of operators, through the real command line.

After a wanted change of what is printed: `pytest tests/sessions
--snapshot-update`, and read the difference before committing it.
"""

import pathlib

from syrupy import assertion

from tests import processes
from tests.sessions import transcript

_COMMAND_ID = "7a0a3a0e-6f0c-4a52-9d0b-1f2e3d4c5b6a"
_SERVICE = """
[[service]]
name = "lookup"
cores = 2
memory = "{memory}"
slots = {slots}
connections = 60
"""
_BATCH = """
[[batch_job]]
name = "rebuild"
cores = 4
memory = "2GB"
run_time = "1h"

[[watcher]]
name = "parish"
cores = 0.5
memory = "100MB"
"""


def _write(site: processes.System, name: str, text: str) -> str:
    path = pathlib.Path(site.folder, name)
    path.write_text(text)
    return str(path)


def _service(
    site: processes.System, *, memory: str = "1GB", slots: int = 4
) -> str:
    text = _SERVICE.format(memory=memory, slots=slots)
    return _write(site, "lookup.toml", text)


def _wait_for(site: processes.System, *tasks: str, state: str = "running"):
    for task in tasks:
        processes.wait_until(
            lambda task=task: site.task_state(task) == state,
            what=f"{task} {state}",
        )


def _apply(site: processes.System, path: str) -> None:
    plan = site.operate("plan", "apply", path)
    site.operate("confirm", str(plan["plan_id"]))


def test_an_intent_is_planned_and_confirmed(
    site: processes.System,
    terminal: transcript.Transcript,
    golden: assertion.SnapshotAssertion,
) -> None:
    terminal.run("plan", "apply", _service(site))
    terminal.note("nothing runs before the confirmation")
    terminal.run("status")
    terminal.run("confirm", "1")
    _wait_for(site, "lookup/0")
    terminal.run("status")
    terminal.run("explain", "lookup")
    terminal.run("plan", "apply", _service(site))
    terminal.run("audit")
    assert terminal.text() == golden


def test_of_two_racing_operators_the_second_is_told_who_won(
    site: processes.System,
    terminal: transcript.Transcript,
    golden: assertion.SnapshotAssertion,
) -> None:
    terminal.run("plan", "apply", _service(site, slots=4), operator="desk-1")
    terminal.run("plan", "apply", _service(site, slots=8), operator="desk-2")
    sent = ("confirm", "1", "--command-id", _COMMAND_ID)
    terminal.run(*sent, operator="desk-1")
    terminal.run("confirm", "2", operator="desk-2")
    terminal.note("a command sent again gets the first answer")
    terminal.run(*sent, operator="desk-1")
    terminal.run("audit")
    assert terminal.text() == golden


def test_a_likely_mistake_is_refused_until_acknowledged(
    site: processes.System,
    terminal: transcript.Transcript,
    golden: assertion.SnapshotAssertion,
) -> None:
    _apply(site, _service(site, memory="1GB"))
    _wait_for(site, "lookup/0")
    terminal.note("1GB was meant to become 2GB")
    terminal.run("plan", "apply", _service(site, memory="2TB"))
    terminal.run("confirm", "2")
    terminal.run("plan", "apply", _service(site, memory="20GB"))
    terminal.run("confirm", "3")
    terminal.run("confirm", "3", "--acknowledge", "unit-slip")
    terminal.run("audit")
    assert terminal.text() == golden


def test_a_worker_is_drained_and_let_back(
    site: processes.System,
    terminal: transcript.Transcript,
    golden: assertion.SnapshotAssertion,
) -> None:
    _apply(site, _write(site, "batch.toml", _BATCH))
    _wait_for(site, "rebuild/0", "parish/0")
    holder = next(
        task["worker"]
        for task in site.operate("status")["tasks"]
        if task["name"] == "rebuild/0"
    )
    terminal.run("plan", "drain", holder)
    terminal.run("confirm", "2")

    def moved() -> bool:
        return all(
            task["worker"] not in ("", holder) and task["state"] == "running"
            for task in site.operate("status")["tasks"]
        )

    processes.wait_until(moved, what="all tasks on the other worker")
    terminal.run("status")
    terminal.run("plan", "undrain", holder)
    terminal.run("confirm", "3")
    terminal.run("plan", "remove", "parish")
    terminal.run("plan", "cancel", "rebuild")
    terminal.run("confirm", "5")
    _wait_for(site, "rebuild/0", state="cancelled")
    terminal.run("status")
    terminal.run("audit")
    assert terminal.text() == golden


def test_wrong_requests_are_explained(
    site: processes.System,
    terminal: transcript.Transcript,
    golden: assertion.SnapshotAssertion,
) -> None:
    text = _SERVICE.format(memory="1 gigabyte", slots=4)
    path = _write(site, "lookup.toml", text.replace("slots", "slot"))
    terminal.run("plan", "apply", path)
    terminal.run("plan", "drain", "worker-9")
    terminal.run("confirm", "7")
    terminal.run("audit")
    assert terminal.text() == golden
