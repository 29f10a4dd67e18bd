"""What operators ask of the leader: plan, confirm, status, explain, audit."""

import json
import time

from marigoldsill import errors
from marigoldsill.coordination import control_service
from marigoldsill.coordination import planning
from marigoldsill.coordination import replica as replica_module
from marigoldsill.protocol import intent_file
from marigoldsill.protocol import shapes
from marigoldsill.protocol.generated import ttypes

_TIMEOUT_S = 3.0


class Operators:
    """Answers operators while this process leads."""

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        service: control_service.ControlService,
    ):
        self._replica = replica
        self._service = service

    def plan(
        self, action: str, body: bytes, *, operator_name: str, command_id: str
    ) -> ttypes.Plan:
        """Makes and records a plan; nothing else happens.

        Raises:
            BadInputError: The action or the body is not accepted.
            NotLeaderError: Another process leads.
        """
        self._require_leader()
        with self._replica.lock:
            plan = self._make(action, body, operator_name)
        if not plan.changes:
            raise errors.ConflictError(
                "nothing would change: all of it is in force already"
            )
        result = self._propose(
            command_id, record_plan=ttypes.RecordPlan(plan=plan)
        )
        with self._replica.lock:
            return self._replica.tables.plans[result.plan_id]

    def confirm(
        self,
        plan_id: int,
        acknowledged: list[str],
        *,
        operator_name: str,
        command_id: str,
    ) -> dict[str, object]:
        """Confirms a plan.

        Raises:
            ConflictError: Another change came first.
            GuardError: A guard rail was not acknowledged.
            NotFoundError: There is no such plan.
        """
        self._require_leader()
        result = self._propose(
            command_id,
            confirm_plan=ttypes.ConfirmPlan(
                plan_id=plan_id,
                operator_name=operator_name,
                acknowledged_guards=acknowledged,
            ),
        )
        match result.outcome:
            case ttypes.Outcome.OK:
                return {
                    "plan_id": plan_id,
                    "state": "confirmed",
                    "state_version": result.state_version,
                }
            case ttypes.Outcome.NOT_FOUND:
                raise errors.NotFoundError(f"there is no plan {plan_id}")
            case ttypes.Outcome.GUARDED:
                raise errors.GuardError(result.message)
            case ttypes.Outcome.STALE:
                raise errors.StalePlanError(result.message)
            case _:
                raise errors.ConflictError(result.message)

    def status(self) -> dict[str, object]:
        """The state in short, confirmed by a majority."""
        self._confirm_leadership()
        live = self._service.leases.live()
        with self._replica.lock:
            tables = self._replica.tables
            return {
                "leader": self._replica.member.name,
                "term": self._replica.term,
                "state_version": tables.state_version,
                "members": [
                    {
                        "name": member.name,
                        "address": member.address,
                        "voter": member.voter,
                    }
                    for member in tables.members
                ],
                "workers": [
                    {
                        "name": worker.name,
                        "data_centre": worker.data_centre,
                        "state": ttypes.WorkerState(worker.state).name.lower(),
                        "live": worker.name in live,
                        "tasks": len(tables.tasks_on(worker.name)),
                    }
                    for worker in tables.workers.values()
                ],
                "tasks": [
                    {
                        "name": task.name,
                        "kind": ttypes.Kind(task.kind).name.lower(),
                        "state": ttypes.TaskState(task.state).name.lower(),
                        "worker": task.worker,
                        "epoch": task.epoch,
                        "reason": task.reason,
                    }
                    for task in tables.tasks.values()
                ],
            }

    def explain(self, name: str) -> dict[str, object]:
        """Why something is as it is.

        Raises:
            NotFoundError: Nothing has that name.
        """
        self._confirm_leadership()
        with self._replica.lock:
            tables = self._replica.tables
            tasks = tables.tasks_of(name)
            if name in tables.tasks:
                tasks = [tables.tasks[name]]
            if not tasks:
                raise errors.NotFoundError(f"nothing is named {name!r}")
            return {
                "name": name,
                "tasks": [shapes.of_record(task) for task in tasks],
            }

    def audit(self) -> list[object]:
        """The audit trail, oldest first."""
        self._confirm_leadership()
        with self._replica.lock:
            return [shapes.of_record(r) for r in self._replica.tables.audit]

    def _make(
        self, action: str, body: bytes, operator_name: str
    ) -> ttypes.Plan:
        tables = self._replica.tables
        match action:
            case "apply":
                intent = intent_file.parse(body)
                return planning.for_apply(tables, intent, operator_name)
            case "remove":
                return planning.for_remove(
                    tables, _field(body, "name", str), operator_name
                )
            case "drain" | "undrain":
                return planning.for_drain(
                    tables,
                    _field(body, "name", str),
                    operator_name,
                    drain=action == "drain",
                )
            case "cancel":
                return planning.for_cancel(
                    tables, _field(body, "names", list), operator_name
                )
            case _:
                raise errors.BadInputError(
                    f"{action!r} is no action; accepted are apply, remove, "
                    "drain, undrain, cancel"
                )

    def _require_leader(self) -> None:
        if self._replica.is_leader:
            return
        leader = self._replica.leader
        raise errors.NotLeaderError(
            f"{self._replica.member.name} does not lead; "
            f"{leader.name if leader else 'no other known process'} does",
            leader_address=leader.address if leader else "",
            leader_http=leader.http_address if leader else "",
        )

    def _confirm_leadership(self) -> None:
        self._require_leader()
        self._replica.confirm_leadership(timeout_s=_TIMEOUT_S)

    def _propose(self, command_id: str, **body: object) -> ttypes.CommandResult:
        command = ttypes.Command(
            command_id=command_id,
            proposed_unix_ms=time.time_ns() // 1_000_000,
            **body,
        )
        return self._replica.propose(command, timeout_s=_TIMEOUT_S)


def _field(body: bytes, name: str, kind: type) -> object:
    try:
        value = json.loads(body)[name]
    except (ValueError, KeyError, TypeError) as error:
        raise errors.BadInputError(
            f"the body is no JSON object with {name!r}"
        ) from error
    if not isinstance(value, kind):
        raise errors.BadInputError(
            f"{name!r} is {value!r}; accepted is a {kind.__name__}"
        )
    return value
