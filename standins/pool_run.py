"""A run on the stand-in of the platform's worker.

The spec defines what a run does: "work 300" takes 300 ms, "fail 100" fails after
100 ms, "crash 10" crashes its worker after 10 ms, "crash 10 2000" after 10 ms and
2 s in turn, "last" runs until it is stopped, "gang 3 200" waits for a gang of three
and then takes 200 ms.
"""

import dataclasses

from standins import gangs

# Outcome of a run that crashes its worker.
CRASHED = "crashed"
_KINDS = ("work", "fail", "crash", "last", "gang")
# `gang_timeout_ms` of the platform.
_GANG_TIMEOUT_MS = 3_000


@dataclasses.dataclass(slots=True)
class PoolRun:
    """One run; times are from the monotonic clock.

    Attributes:
        task: The name of the task.
        run: The number of the run.
        spec: What the run does.
        started_ms: When the run started.
        updated_ms: When `progress_ms` was updated last.
        pace_percent: The speed of the work, in percent of full speed.
        progress_ms: The work done until `updated_ms`.
        load: The load that the list of runs shows.
        gang: The gang that the run is a member of, if any.
    """

    task: str
    run: int
    spec: str
    started_ms: int
    updated_ms: int
    pace_percent: int = 100
    progress_ms: float = 0.0
    load: int = 1
    gang: gangs.Gang | None = None

    @property
    def kind(self) -> str:
        """The kind of run, the first word of the spec."""
        word = self.spec.partition(" ")[0]
        return word if word in _KINDS else "work"

    @property
    def gang_size(self) -> int:
        """The number of members of the gang; 0 if the run has no gang."""
        words = self.spec.split()
        return int(words[1]) if self.kind == "gang" else 0

    @property
    def work_ms(self) -> float:
        """The total work of the run."""
        if self.kind == "crash":
            ages_ms = self.spec.split()[1:]
            return float(ages_ms[(self.run - 1) % len(ages_ms)])
        number = self.spec.rpartition(" ")[2]
        return float(number) if number.isdecimal() else 50.0

    def resume(self, checkpoint: str) -> None:
        """Continues from a checkpoint; a crash depends on the run's own age."""
        if self.kind != "crash":
            self.progress_ms = float(checkpoint or 0)

    def advance(self, now_ms: int) -> str | None:
        """Updates the progress; returns the outcome if the run ends.

        Args:
            now_ms: The time until which the run has worked.
        """
        if self.gang is not None and self.gang.outcome is not None:
            return self.gang.outcome
        if self.gang is not None and not self.gang.is_complete:
            self.updated_ms = now_ms
            is_overdue = now_ms - self.started_ms > _GANG_TIMEOUT_MS
            return "alone" if is_overdue else None
        self.progress_ms += (now_ms - self.updated_ms) * self.pace_percent / 100
        self.updated_ms = now_ms
        if self.kind == "last" or self.progress_ms < self.work_ms:
            return None
        return {"fail": "failed", "crash": CRASHED}.get(self.kind, "done")

    @property
    def checkpoint(self) -> str:
        """A checkpoint of the current progress."""
        return f"{int(self.progress_ms):08d}"

    def to_row(self) -> list[object]:
        """Returns the row of the run in the list of runs."""
        share = 1.0 if self.kind == "last" else self.progress_ms / self.work_ms
        return [
            self.task,
            self.run,
            self.checkpoint,
            min(100, int(100 * share)),
            self.load,
        ]
