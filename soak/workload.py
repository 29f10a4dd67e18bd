"""Clients and an operator that use a system and check its answers."""

from collections.abc import Callable
from collections.abc import Sequence
import functools
import random
import threading
import time

from soak import drawn_jobs
from soak import history
from soak import time_spans
from tests.platform import system as system_module

_CALL_INTERVAL_S = 0.1
_ATTEMPTS_COUNT = 5
_CANCEL_SHARE = 0.1
_REFUSALS = (404, 429, 503)
_ACKNOWLEDGEMENTS = (200, 410)
# Long-running jobs are submitted and cancelled, so that they hold only a small part
# of the capacity.
_SPECIAL_INTERVAL_S = 0.4
_LONG_RUNNING_LIMIT = 4
_SPECIAL_CANCEL_SHARE = 0.3
# Time between two jobs whose task crashes its worker.
_CRASHING_INTERVAL_S = 3.0
# Evacuations: the time before each of them, and how long it lasts. The soak checks the
# starts of the last seconds of each.
_EVACUATION_PAUSES_S = (1.0, 5.0)
_EVACUATION_DURATIONS_S = (10.0, 14.0)
# The attempts outlast the longest loss of power of all machines.
_EVACUATION_ATTEMPTS_COUNT = 300
_STATES = ("queued", "running", "completed", "failed", "cancelled")
# Draws a job with its id and its body.
_DrawJob = Callable[[str, random.Random], tuple[history.SubmittedJob, dict]]


class Workload:
    """Uses a system from its own threads.

    Attributes:
        jobs: All submitted jobs.
        violations: Descriptions of answers that violate an invariant.
        acknowledged_version: The highest acknowledged version of the configuration.
        evacuations: The evacuations that were acknowledged.
    """

    def __init__(
        self,
        system: system_module.System,
        *,
        seed: int,
        evacuated_data_centre: str = "",
        sources: Sequence[tuple[float, _DrawJob]] = (),
    ):
        """Initializes the workload without calling the system.

        Args:
            system: The system.
            seed: The seed of all random decisions.
            evacuated_data_centre: Evacuated from time to time; none if empty.
            sources: Further jobs: the time from one to the next, in seconds, and
                what draws one.
        """
        self.jobs: list[history.SubmittedJob] = []
        self.violations: list[str] = []
        self.acknowledged_version = 1
        self.evacuations: list[history.Evacuation] = []
        self._evacuated_data_centre = evacuated_data_centre
        self._system = system
        self._seed = seed
        self._stopping = threading.Event()
        loops = (
            self._submit_batch_jobs,
            self._submit_batch_jobs,
            self._poll_jobs,
            self._replace_configurations,
            self._submit_special_jobs,
            functools.partial(
                self._submit_drawn_jobs,
                _CRASHING_INTERVAL_S,
                drawn_jobs.draw_crashing_job,
            ),
            self._evacuate_repeatedly,
            *(
                functools.partial(self._submit_drawn_jobs, interval_s, draw_job)
                for interval_s, draw_job in sources
            ),
        )
        self._threads = [
            threading.Thread(target=loop, args=(number,), daemon=True)
            for number, loop in enumerate(loops)
        ]

    def start(self) -> None:
        """Starts the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops after the current calls."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def check_job(self, job: history.SubmittedJob, *, edge: str) -> bool:
        """Requests a job's state and checks it; returns whether there was an answer."""
        was_completed, was_accepted = job.completed, job.accepted
        answer = self._system.get_job_state(job.job_id, edge=edge)
        state = answer.value.get("state", "")
        if answer.status == 410 and was_accepted:
            self.violations.append(f"{job.job_id} was accepted, then unknown")
        if answer.status == 200 and state not in _STATES:
            self.violations.append(f"{job.job_id} has state {state!r}")
        if job.long_running and state == "completed":
            self.violations.append(
                f"{job.job_id} is long-running, but completed"
            )
        if state == "cancelled" and not job.cancelling:
            self.violations.append(f"{job.job_id} is {state} without a cause")
        if job.state == "failed" and state not in ("", "failed"):
            self.violations.append(
                f"{job.job_id} was reported as failed, then {state}"
            )
        if was_completed and state not in ("", "completed"):
            self.violations.append(
                f"{job.job_id} was reported as completed, then {state}"
            )
        if state == "failed" and not job.failed_ns:
            job.failed_ns = time.monotonic_ns()
        job.completed = job.completed or state == "completed"
        job.state = state or job.state
        return answer.status != 0

    def cancel(self, job: history.SubmittedJob, numbers: random.Random) -> None:
        """Cancels a job, with retries until the cancellation is acknowledged."""
        job.cancel_sent_ns = job.cancel_sent_ns or time.monotonic_ns()
        job.cancelling = True
        for _ in range(_ATTEMPTS_COUNT):
            edge = numbers.choice(self._system.running_edges())
            path = f"/fast/{job.job_id}"
            answer = self._system.call("DELETE", path, edge=edge)
            if answer.status == 410 and job.accepted:
                self.violations.append(
                    f"{job.job_id} was accepted, then unknown"
                )
            if answer.status in _ACKNOWLEDGEMENTS:
                job.cancel_acknowledged_ns = time.monotonic_ns()
                return

    def _submit_batch_jobs(self, number: int) -> None:
        numbers = random.Random(f"{self._seed} {number}")
        for count in range(1_000_000):
            if self._stopping.wait(_CALL_INTERVAL_S):
                return
            job_id = f"{number:04x}{count:012x}"
            steps = [
                system_module.step(numbers.randint(1, 3)),
                system_module.step(numbers.randint(1, 3), after=[0]),
            ]
            job = history.SubmittedJob(
                job_id, [step["count"] for step in steps]
            )
            body = {"spec": f"work {numbers.randint(20, 400)}", "steps": steps}
            self._submit_job(job, body, numbers)
            if job.accepted and numbers.random() < _CANCEL_SHARE:
                self.cancel(job, numbers)

    def _submit_special_jobs(self, number: int) -> None:
        """Submits long-running jobs, gangs and timed jobs, and cancels some."""
        numbers = random.Random(f"{self._seed} {number}")
        factories: tuple[Callable, ...] = (
            drawn_jobs.draw_long_running_job,
            drawn_jobs.draw_long_running_job,
            drawn_jobs.draw_gang_job,
            drawn_jobs.draw_timed_job,
        )
        for count in range(1_000_000):
            if self._stopping.wait(_SPECIAL_INTERVAL_S):
                return
            job, body = numbers.choice(factories)(
                f"{number:04x}{count:012x}", numbers
            )
            self._submit_job(job, body, numbers)
            long_running = [j for j in self.jobs if j.expected_running_tasks()]
            if len(long_running) > _LONG_RUNNING_LIMIT:
                self.cancel(long_running[0], numbers)
            if job.accepted and numbers.random() < _SPECIAL_CANCEL_SHARE:
                self.cancel(job, numbers)

    def _submit_drawn_jobs(
        self, interval_s: float, draw_job: _DrawJob, number: int
    ) -> None:
        numbers = random.Random(f"{self._seed} {number}")
        for count in range(1_000_000):
            if self._stopping.wait(interval_s):
                return
            job, body = draw_job(f"{number:04x}{count:012x}", numbers)
            self._submit_job(job, body, numbers)

    def _submit_job(
        self, job: history.SubmittedJob, body: dict, numbers: random.Random
    ) -> None:
        self.jobs.append(job)
        for _ in range(_ATTEMPTS_COUNT):
            edge = numbers.choice(self._system.running_edges())
            path = f"/fast/{job.job_id}"
            answer = self._system.call("POST", path, body, edge=edge)
            job.refused = job.refused and answer.status in _REFUSALS
            if answer.status == 200:
                job.accepted_ns = time.monotonic_ns()
                job.accepted = True
                return

    def _poll_jobs(self, number: int) -> None:
        numbers = random.Random(f"{self._seed} {number}")
        while not self._stopping.wait(_CALL_INTERVAL_S):
            if self.jobs:
                edge = numbers.choice(self._system.running_edges())
                self.check_job(numbers.choice(self.jobs), edge=edge)

    def _replace_configurations(self, number: int) -> None:
        numbers = random.Random(f"{self._seed} {number}")
        version = self.acknowledged_version
        while not self._stopping.wait(_CALL_INTERVAL_S):
            version += numbers.randint(1, 3)
            self.replace_configuration(
                version, numbers.choice(self._system.running_edges())
            )
            self.read_configuration(
                numbers.choice(self._system.running_edges())
            )

    def replace_configuration(self, version: int, edge: str) -> None:
        """Sends a valid configuration and checks the answer."""
        body = system_module.configuration(version)
        answer = self._system.call_as_operator(
            "POST", "Config.Replace", body, edge=edge
        )
        if answer.status == 200:
            self.acknowledged_version = version
        elif answer.status and answer.status < 500:
            self.violations.append(
                f"valid version {version} was refused with {answer.status}"
            )

    def _evacuate_repeatedly(self, number: int) -> None:
        numbers = random.Random(f"{self._seed} {number}")
        data_centre = self._evacuated_data_centre
        while data_centre and not self._stopping.wait(
            numbers.uniform(*_EVACUATION_PAUSES_S)
        ):
            is_started = self._order_evacuation("Start", data_centre, numbers)
            started_ns = time.monotonic_ns()
            self._stopping.wait(numbers.uniform(*_EVACUATION_DURATIONS_S))
            span = time_spans.Span(started_ns, time.monotonic_ns())
            if is_started:
                self.evacuations.append(history.Evacuation(data_centre, span))
            if not self._order_evacuation("Finish", data_centre, numbers):
                self.violations.append(
                    f"the end of the evacuation of {data_centre} was never "
                    "acknowledged"
                )

    def _order_evacuation(
        self, verb: str, data_centre: str, numbers: random.Random
    ) -> bool:
        """Sends an order until it is acknowledged; returns whether it was."""
        for _ in range(_EVACUATION_ATTEMPTS_COUNT):
            answer = self._system.call_as_operator(
                "POST",
                f"Evacuations.{verb}/{data_centre}",
                edge=numbers.choice(self._system.running_edges()),
            )
            if answer.status == 200:
                return True
            if 400 <= answer.status < 500:
                self.violations.append(
                    f"{verb} of an evacuation was refused with {answer.status}"
                )
            time.sleep(_CALL_INTERVAL_S)
        return False

    def read_configuration(self, edge: str) -> bool:
        """Reads and checks the configuration; returns whether it was answered."""
        min_version = self.acknowledged_version
        answer = self._system.call_as_operator(
            "GET", "Config.Describe", edge=edge
        )
        if answer.status != 200:
            return False
        if answer.value["version"] < min_version:
            self.violations.append(
                f"{edge} read back version {answer.value['version']}, but "
                f"{min_version} was acknowledged before"
            )
        return True
