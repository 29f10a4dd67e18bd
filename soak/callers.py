"""Clients and an operator that use a system and note what they are told."""

import dataclasses
import random
import threading

from tests.platform import system as system_module

_PAUSE_S = 0.1
_TRIES_COUNT = 5
_CANCEL_SHARE = 0.1
_REFUSALS = (404, 429, 503)
_STATES = ("queued", "running", "completed", "failed", "cancelled")


@dataclasses.dataclass(slots=True)
class Submitted:
    """One job as its client knows it.

    Attributes:
        job_id: Its id.
        tasks_count: Of all its steps.
        accepted: Whether it was acknowledged.
        refused: Whether every answer said that it never runs.
        cancelling: Whether its cancelling was sent.
        completed: Whether it was shown as completed.
    """

    job_id: str
    tasks_count: int
    accepted: bool = False
    refused: bool = True
    cancelling: bool = False
    completed: bool = False


class Callers:
    """Uses a system from threads of its own.

    Attributes:
        jobs: Every job that was sent.
        broken: What they were told that must not be.
        acknowledged_version: The highest configuration that was acknowledged.
    """

    def __init__(self, system: system_module.System, *, seed: int):
        self.jobs: list[Submitted] = []
        self.broken: list[str] = []
        self.acknowledged_version = 1
        self._system = system
        self._seed = seed
        self._stopping = threading.Event()
        tasks = (self._submit, self._submit, self._look, self._operate)
        self._threads = [
            threading.Thread(target=task, args=(number,), daemon=True)
            for number, task in enumerate(tasks)
        ]

    def start(self) -> None:
        """Begins to call."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends after the calls under way."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def look_at(self, job: Submitted, *, edge: str) -> str:
        """Asks for a job's state and checks the answer."""
        was_completed, was_accepted = job.completed, job.accepted
        answer = self._system.state(job.job_id, edge=edge)
        state = answer.value.get("state", "")
        if answer.status == 410 and was_accepted:
            self.broken.append(f"{job.job_id} accepted, then unknown")
        if answer.status == 200 and state not in _STATES:
            self.broken.append(f"{job.job_id} has state {state!r}")
        if state == "failed" or (state == "cancelled" and not job.cancelling):
            self.broken.append(f"{job.job_id} is {state} without a cause")
        if was_completed and state not in ("", "completed"):
            self.broken.append(f"{job.job_id} completed, then {state}")
        job.completed = job.completed or state == "completed"
        return state

    def _submit(self, number: int) -> None:
        numbers = random.Random(f"{self._seed} {number}")
        for count in range(1_000_000):
            if self._stopping.wait(_PAUSE_S):
                return
            job_id = f"{number:04x}{count:012x}"
            steps = [
                system_module.step(numbers.randint(1, 3)),
                system_module.step(numbers.randint(1, 3), after=[0]),
            ]
            job = Submitted(job_id, sum(step["count"] for step in steps))
            self.jobs.append(job)
            body = {"spec": f"work {numbers.randint(20, 400)}", "steps": steps}
            self._hand_in(job, body, numbers)
            if job.accepted and numbers.random() < _CANCEL_SHARE:
                job.cancelling = True
                edge = numbers.choice(self._system.edges())
                self._system.call("DELETE", f"/fast/{job_id}", edge=edge)

    def _hand_in(
        self, job: Submitted, body: dict, numbers: random.Random
    ) -> None:
        for _ in range(_TRIES_COUNT):
            edge = numbers.choice(self._system.edges())
            path = f"/fast/{job.job_id}"
            answer = self._system.call("POST", path, body, edge=edge)
            job.refused = job.refused and answer.status in _REFUSALS
            if answer.status == 200:
                job.accepted = True
                return

    def _look(self, number: int) -> None:
        numbers = random.Random(f"{self._seed} {number}")
        while not self._stopping.wait(_PAUSE_S):
            if self.jobs:
                edge = numbers.choice(self._system.edges())
                self.look_at(numbers.choice(self.jobs), edge=edge)

    def _operate(self, number: int) -> None:
        numbers = random.Random(f"{self._seed} {number}")
        version = self.acknowledged_version
        while not self._stopping.wait(_PAUSE_S):
            version += numbers.randint(1, 3)
            edge = numbers.choice(self._system.edges())
            body = system_module.configuration(version)
            call = self._system.operate
            answer = call("POST", "Config.Replace", body, edge=edge)
            if answer.status == 200:
                self.acknowledged_version = version
            elif answer.status and answer.status < 500:
                self.broken.append(f"version {version} gave {answer.status}")
            self.read_configuration(numbers.choice(self._system.edges()))

    def read_configuration(self, edge: str) -> bool:
        """Reads the configuration back; whether there was an answer."""
        least = self.acknowledged_version
        answer = self._system.operate("GET", "Config.Describe", edge=edge)
        if answer.status != 200:
            return False
        if answer.value["version"] < least:
            self.broken.append(
                f"{edge} read back version {answer.value['version']}, but "
                f"{least} was acknowledged before"
            )
        return True
