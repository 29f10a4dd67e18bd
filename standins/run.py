"""A run on the stand-in worker."""

import dataclasses

from standins import endpoint as endpoint_module


@dataclasses.dataclass(slots=True)
class Run:
    """One run; `progress_ms` is the work done until `updated_s`."""

    task: str
    epoch: int
    kind: str
    owner: str
    cpu_millicores: int
    memory_bytes: int
    accelerators_count: int
    run_time_ms: int
    progress_ms: float
    lease_end_ns: int
    updated_s: float
    state: str = "running"
    checkpoint_id: str = ""
    checkpoint_worked_ms: int = 0
    throttled: bool = False
    detail: str = ""
    endpoint: endpoint_module.Endpoint | None = None

    def to_json(self) -> dict[str, object]:
        """Returns the run as the list of the worker shows it."""
        return {
            "task": self.task,
            "epoch": self.epoch,
            "state": self.state,
            "cpu_millicores": self.cpu_millicores,
            "memory_bytes": self.memory_bytes,
            "accelerators_count": self.accelerators_count,
            "progress_ms": int(self.progress_ms),
            "checkpoint_id": self.checkpoint_id,
            "checkpoint_worked_ms": self.checkpoint_worked_ms,
            "throttled": self.throttled,
            "detail": self.detail,
        }


def journal_fields(run: Run) -> dict[str, object]:
    """Returns the fields that every journal line about a run contains."""
    return {
        "task": run.task,
        "epoch": run.epoch,
        "cpu_millicores": run.cpu_millicores,
        "memory_bytes": run.memory_bytes,
        "accelerators_count": run.accelerators_count,
    }
