"""Jobs and configurations survive kills, power losses and lost disks."""

import pathlib
import shutil

from tests import one_process
from tests.platform import system as system_module

step = system_module.step
_WORK = "work 300"


def test_jobs_survive_a_power_loss_of_all_edges(system) -> None:
    system.start()
    for number in range(4):
        system.submit(f"00000000000000b{number}", step(3), spec=_WORK)
    system.kill(*system.running_edges())
    for number in (1, 2, 3):
        system.start_edge(f"edge-{number}")
    for number in range(4):
        system.wait_for_job_state(f"00000000000000b{number}", "completed")


def test_jobs_complete_after_the_leader_is_killed(system) -> None:
    system.start()
    system.submit("00000000000000b4", step(2), step(2, after=[0]), spec=_WORK)
    system.kill(system.find_leader())
    system.submit("00000000000000b5", step(2), spec=_WORK)
    for job_id in ("00000000000000b4", "00000000000000b5"):
        system.wait_for_job_state(job_id, "completed")


def test_acknowledged_changes_survive_a_lost_disk(system) -> None:
    system.start()
    system.submit("00000000000000b6", step(2), spec=_WORK)
    configuration = system.replace_configuration(7)
    lost = system.find_leader()
    system.kill(lost)
    shutil.rmtree(system.data_folder(lost))
    system.start_edge(lost)
    system.wait_for_job_state("00000000000000b6", "completed")

    def is_read_back() -> bool:
        answer = system.call_as_operator("GET", "Config.Describe", edge=lost)
        assert answer.status in (0, 200, 503)
        return answer.status == 200 and answer.value == configuration

    one_process.wait_until(
        is_read_back, what="the configuration at the emptied member"
    )


def test_calls_are_refused_without_a_majority(system) -> None:
    system.start()
    survivor, *others = system.running_edges()
    system.kill(*others)
    body = {"spec": "work 1", "steps": [step()]}

    def is_refused() -> bool:
        answer = system.call(
            "POST", "/fast/00000000000000b7", body, edge=survivor
        )
        assert answer.status != 200
        return answer.status in (503, 504, 502)

    one_process.wait_until(is_refused, what="a refusal")
    read = system.call_as_operator("GET", "Config.Describe", edge=survivor)
    assert read.status == 503


def test_a_restarted_agent_finds_its_runs(system) -> None:
    system.start(workers_count=1)
    system.submit("00000000000000b8", step(3), spec="work 1500")
    system.wait_for_job_state("00000000000000b8", "running")
    system.kill("side-1")
    system.start_side("side-1")
    system.wait_for_job_state("00000000000000b8", "completed")
    starts = [e for e in system.read_journal() if e["event"] == "started"]
    assert len(starts) == 3


def test_runs_of_a_restarted_worker_start_again(system) -> None:
    system.start(workers_count=1)
    system.submit("00000000000000b9", step(2), spec="work 800")
    worker = system.workers["side-1"]
    one_process.wait_until(
        lambda: len(worker.running_tasks()) == 2, what="its runs"
    )
    worker.crash()
    system.wait_for_job_state("00000000000000b9", "completed")


def test_tasks_of_an_unresponsive_worker_run_on_another(system) -> None:
    """Any worker may have all tasks, if the other one registers later."""
    system.start(workers_count=2)
    # Longer than calls in progress, which may still tell the end of a task.
    system.submit("00000000000000ba", step(4), spec="work 6000")
    lost = one_process.wait_until(
        lambda: next(
            (w for w in system.workers.values() if w.running_tasks()), None
        ),
        what="runs on a worker",
    )
    lost.faults.is_unresponsive = True
    lost_tasks = set(lost.running_tasks())
    assert lost_tasks
    system.wait_for_job_state("00000000000000ba", "completed")
    started_elsewhere = {
        entry["task"]
        for entry in system.read_journal()
        if entry["event"] == "started" and entry["machine"] != lost.address
    }
    assert lost_tasks <= started_elsewhere


def test_a_group_forms_although_its_first_seed_restarts_before(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a group that never forms, so that no job is ever accepted.

    The first seed, which alone may form the group, ends before it has done so and
    restarts with settings without the flag of the first start. It then neither
    forms a group nor lets others form one, if only that process knows, and only in
    memory, who may form the group.
    """
    system = system_module.System(tmp_path)
    try:
        system.start_edge("edge-2")
        system.start_edge("edge-3")
        system.clear_first_start()
        system.start_edge("edge-1")
        system.replace_configuration(1)
    finally:
        system.stop()
