"""Clients and an operator that use a system and check its answers."""

from collections.abc import Callable
from collections.abc import Sequence
import functools
import random
import threading
import time

from soak import drawn_jobs
from soak import evacuations
from soak import history
from tests.platform import system as system_module

_CALL_INTERVAL_S = 0.1
_ATTEMPTS_COUNT = 5
_CANCEL_SHARE = 0.1
_REFUSALS = (404, 429, 503)
_GONE = 410
_ACKNOWLEDGEMENTS = (200, _GONE)
# Long-running jobs are submitted and cancelled, so that they hold only a small part
# of the capacity.
_SPECIAL_INTERVAL_S = 0.4
_LONG_RUNNING_LIMIT = 4
_SPECIAL_CANCEL_SHARE = 0.3
# Time between two jobs whose task crashes its worker.
_CRASHING_INTERVAL_S = 3.0
_STATES = ("queued", "running", "completed", "failed", "cancelled")
# What a client does with one job, given the workload and the job's id.
Act = Callable[["Workload", str, random.Random], None]


class Workload:
    """Uses a system from its own threads.

    Attributes:
        system: The system.
        seed: The seed of all random decisions.
        stopping: Set once the threads are to stop.
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
        clients: Sequence[tuple[float, Act]] = (),
    ):
        """Initializes the workload without calling the system.

        Args:
            system: The system.
            seed: The seed of all random decisions.
            evacuated_data_centre: Evacuated from time to time; none if empty.
            clients: Further clients: the time from one job to the next, in seconds,
                and what the client does with each.
        """
        self.jobs: list[history.SubmittedJob] = []
        self.violations: list[str] = []
        self.acknowledged_version = 1
        self.evacuations: list[evacuations.Evacuation] = []
        self.system = system
        self.seed = seed
        self.stopping = threading.Event()
        batch_client = self._client(
            _CALL_INTERVAL_S, Workload._submit_batch_job
        )
        loops = (
            batch_client,
            batch_client,
            self._poll_jobs,
            self._replace_configurations,
            self._client(_SPECIAL_INTERVAL_S, Workload._submit_special_job),
            self._client(
                _CRASHING_INTERVAL_S, submitter(drawn_jobs.draw_crashing_job)
            ),
            functools.partial(
                evacuations.evacuate_repeatedly, self, evacuated_data_centre
            ),
            *(self._client(s, act) for s, act in clients),
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
        self.stopping.set()
        for thread in self._threads:
            thread.join()

    def check_job(self, job: history.SubmittedJob, *, edge: str) -> bool:
        """Requests a job's state and checks it; returns whether there was an answer."""
        was_completed, was_accepted = job.completed, job.accepted
        answer = self.system.get_job_state(job.job_id, edge=edge)
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

    def cancel(
        self,
        job: history.SubmittedJob,
        numbers: random.Random,
        *,
        avoided_edge: str = "",
    ) -> None:
        """Cancels a job, with retries until the cancellation is acknowledged."""
        edges = [e for e in self.system.running_edges() if e != avoided_edge]
        job.cancel_sent_ns = job.cancel_sent_ns or time.monotonic_ns()
        job.cancelling = True
        for _ in range(_ATTEMPTS_COUNT):
            edge = numbers.choice(edges)
            path = f"/fast/{job.job_id}"
            answer = self.system.call("DELETE", path, edge=edge)
            if answer.status == 410 and job.accepted:
                self.violations.append(
                    f"{job.job_id} was accepted, then unknown"
                )
            if answer.status in _ACKNOWLEDGEMENTS:
                job.cancel_acknowledged_ns = time.monotonic_ns()
                job.cancelled_unknown = answer.status == _GONE
                if answer.status == 200:
                    self._note_acceptance(job)
                return

    def _client(self, interval_s: float, act: Act) -> Callable[[int], None]:
        """Returns what a thread runs for a client that acts at intervals."""
        return functools.partial(self._act_repeatedly, interval_s, act)

    def _act_repeatedly(self, interval_s: float, act: Act, number: int) -> None:
        numbers = random.Random(f"{self.seed} {number}")
        for count in range(1_000_000):
            if self.stopping.wait(interval_s):
                return
            act(self, f"{number:04x}{count:012x}", numbers)

    def _submit_batch_job(self, job_id: str, numbers: random.Random) -> None:
        steps = [
            system_module.step(numbers.randint(1, 3)),
            system_module.step(numbers.randint(1, 3), after=[0]),
        ]
        job = history.SubmittedJob(job_id, [step["count"] for step in steps])
        body = {"spec": f"work {numbers.randint(20, 400)}", "steps": steps}
        self.submit_job(job, body, numbers)
        if job.accepted and numbers.random() < _CANCEL_SHARE:
            self.cancel(job, numbers)

    def _submit_special_job(self, job_id: str, numbers: random.Random) -> None:
        """Submits a long-running job, a gang or a timed job, and cancels some."""
        job, body = numbers.choice(drawn_jobs.SPECIAL_DRAWS)(job_id, numbers)
        self.submit_job(job, body, numbers)
        long_running = [j for j in self.jobs if j.expected_running_tasks()]
        if len(long_running) > _LONG_RUNNING_LIMIT:
            self.cancel(long_running[0], numbers)
        if job.accepted and numbers.random() < _SPECIAL_CANCEL_SHARE:
            self.cancel(job, numbers)

    def submit_job(
        self, job: history.SubmittedJob, body: dict, numbers: random.Random
    ) -> None:
        """Submits a job, with retries until it is accepted."""
        self.jobs.append(job)
        for _ in range(_ATTEMPTS_COUNT):
            self.submit_once(job, body, numbers)
            if job.accepted:
                return

    def submit_once(
        self, job: history.SubmittedJob, body: dict, numbers: random.Random
    ) -> None:
        """Submits a job at any edge and records the answer."""
        edge = numbers.choice(self.system.running_edges())
        answer = self.system.call(
            "POST", f"/fast/{job.job_id}", body, edge=edge
        )
        self.note_submission(job, answer.status)

    def note_submission(self, job: history.SubmittedJob, status: int) -> None:
        """Records the answer to a submission; the status is 0 if there was none."""
        job.refused = job.refused and status in _REFUSALS
        if status == 200:
            self._note_acceptance(job)

    def _note_acceptance(self, job: history.SubmittedJob) -> None:
        job.accepted_ns = job.accepted_ns or time.monotonic_ns()
        job.accepted = True

    def _poll_jobs(self, number: int) -> None:
        numbers = random.Random(f"{self.seed} {number}")
        while not self.stopping.wait(_CALL_INTERVAL_S):
            if self.jobs:
                edge = numbers.choice(self.system.running_edges())
                self.check_job(numbers.choice(self.jobs), edge=edge)

    def _replace_configurations(self, number: int) -> None:
        numbers = random.Random(f"{self.seed} {number}")
        version = self.acknowledged_version
        while not self.stopping.wait(_CALL_INTERVAL_S):
            version += numbers.randint(1, 3)
            self.replace_configuration(
                version, numbers.choice(self.system.running_edges())
            )
            self.read_configuration(numbers.choice(self.system.running_edges()))

    def replace_configuration(self, version: int, edge: str) -> None:
        """Sends a valid configuration and checks the answer."""
        body = system_module.configuration(version)
        answer = self.system.call_as_operator(
            "POST", "Config.Replace", body, edge=edge
        )
        if answer.status == 200:
            self.acknowledged_version = version
        elif answer.status and answer.status < 500:
            self.violations.append(
                f"valid version {version} was refused with {answer.status}"
            )

    def read_configuration(self, edge: str) -> bool:
        """Reads and checks the configuration; returns whether it was answered."""
        min_version = self.acknowledged_version
        answer = self.system.call_as_operator(
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


def submitter(draw_job: drawn_jobs.DrawJob) -> Act:
    """Returns a client's act that submits a drawn job."""

    def submit(workload: Workload, job_id: str, numbers: random.Random) -> None:
        workload.submit_job(*draw_job(job_id, numbers), numbers)

    return submit
