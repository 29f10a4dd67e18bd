"""Serves the requests of operators: plans, status, explanations and the audit trail."""

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.deciding import control_service
from marigoldsill.coordination.deciding import watcher_absence
from marigoldsill.coordination.leadership import leadership
from marigoldsill.coordination.plans import plan_commands
from marigoldsill.protocol import json_format
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import audit
from marigoldsill.state import tables as tables_module

_TIMEOUT_S = 3.0


class OperatorService:
    """Answers the requests of operators while this process leads.

    Answers are not older than their request, because a majority confirms the leader
    first.
    """

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        service: control_service.ControlService,
    ):
        self._replica = replica
        self._service = service
        self._plans = plan_commands.PlanCommands(
            replica=replica, service=service
        )

    def create_plan(
        self, action: str, body: bytes, *, operator_name: str, command_id: str
    ) -> ttypes.Plan:
        """Creates and records a plan without applying it.

        Raises:
            BadInputError: The action or the body is invalid.
            ConflictError: Nothing would change, or a name is taken.
            NotLeaderError: Another process leads.
        """
        return self._plans.create_plan(
            action, body, operator_name=operator_name, command_id=command_id
        )

    def confirm_plan(
        self,
        plan_id: int,
        acknowledged: list[str],
        *,
        operator_name: str,
        command_id: str,
    ) -> dict[str, object]:
        """Confirms a plan; a resend gets the first answer.

        Raises:
            ConflictError: Another change was confirmed first.
            GuardError: A guard rail was not acknowledged.
            NotFoundError: There is no such plan.
            StalePlanError: The plan would now disrupt other runs as well; the message
                contains the id of a new plan.
        """
        return self._plans.confirm_plan(
            plan_id,
            acknowledged,
            operator_name=operator_name,
            command_id=command_id,
        )

    def get_plan(self, plan_id: int) -> object:
        """Returns a plan as it was created.

        Raises:
            NotFoundError: There is no such plan, or it is no longer kept.
        """
        leadership.confirm(self._replica, timeout_s=_TIMEOUT_S)
        with self._replica.lock:
            plan = self._replica.tables.plans.get(plan_id)
        if plan is None:
            raise errors.NotFoundError(f"there is no plan {plan_id}")
        return json_format.record_to_json(plan)

    def get_status(self) -> dict[str, object]:
        """Returns a summary of the state, confirmed by a majority."""
        leadership.confirm(self._replica, timeout_s=_TIMEOUT_S)
        live = self._service.leases.live_agents()
        with self._replica.lock:
            tables = self._replica.tables
            answer = {
                "leader": self._replica.member.name,
                "term": self._replica.term,
                "state_version": tables.state_version,
                "members": [
                    _member_status(member) for member in tables.members
                ],
                "config_version": tables.config_version,
                "absent_watchers": [
                    _absence_status(absent)
                    for absent in self._service.absent_watchers
                ],
                "workers": [
                    _worker_status(tables, worker, live=worker.name in live)
                    for _, worker in sorted(tables.workers.items())
                ],
                "tasks": [
                    _task_status(task, reason=self._state_reason(task))
                    for _, task in sorted(tables.tasks.items())
                ],
            }
            if tables.evacuated_data_centres:
                answer["evacuated_data_centres"] = sorted(
                    tables.evacuated_data_centres
                )
        # This process may have been frozen since its leadership was confirmed.
        leadership.require(self._replica)
        return answer

    def explain(self, name: str) -> dict[str, object]:
        """Returns the tasks of a name, with the reason of the state of each.

        Args:
            name: The name of a task, or of a service, batch job or watcher.

        Raises:
            NotFoundError: Nothing has that name.
        """
        leadership.confirm(self._replica, timeout_s=_TIMEOUT_S)
        with self._replica.lock:
            tables = self._replica.tables
            tasks = tables.tasks_of(name)
            if name in tables.tasks:
                tasks = [tables.tasks[name]]
            if not tasks:
                raise errors.NotFoundError(f"nothing is named {name!r}")
            return {
                "name": name,
                "tasks": [
                    json_format.record_to_json(task)
                    | {"reason": self._state_reason(task)}
                    for task in tasks
                ],
            }

    def list_audit_records(self, *, since: int = 0) -> list[object]:
        """Returns the audit trail from a sequence number on, oldest first."""
        leadership.confirm(self._replica, timeout_s=_TIMEOUT_S)
        with self._replica.lock:
            records = audit.records_since(self._replica.tables, since)
        return [json_format.record_to_json(record) for record in records]

    def _state_reason(self, task: ttypes.Task) -> str:
        if task.state != ttypes.TaskState.QUEUED:
            return task.reason
        wait_reason = self._service.wait_reason(task.name)
        return (
            f"{wait_reason} (before: {task.reason})"
            if wait_reason
            else task.reason
        )


def _member_status(member: ttypes.Member) -> dict[str, object]:
    return {
        "name": member.name,
        "address": member.address,
        "voter": member.voter,
    }


def _absence_status(
    absent: watcher_absence.WatcherAbsence,
) -> dict[str, object]:
    return {
        "name": absent.task,
        "since_unix_ms": absent.since_unix_ms,
        "reason": absent.reason,
    }


def _worker_status(
    tables: tables_module.Tables, worker: ttypes.Worker, *, live: bool
) -> dict[str, object]:
    return {
        "name": worker.name,
        "data_centre": worker.data_centre,
        "state": ttypes.WorkerState(worker.state).name.lower(),
        "draining": worker.draining,
        "live": live,
        "tasks": len(tables.tasks_on(worker.name)),
    }


def _task_status(task: ttypes.Task, *, reason: str) -> dict[str, object]:
    return {
        "name": task.name,
        "kind": ttypes.Kind(task.kind).name.lower(),
        "state": ttypes.TaskState(task.state).name.lower(),
        "worker": task.worker,
        "epoch": task.epoch,
        "reason": reason,
    }
