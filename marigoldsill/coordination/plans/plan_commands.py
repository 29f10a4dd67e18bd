"""Creates and confirms the plans of operators as replicated commands."""

import prometheus_client

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.deciding import control_service
from marigoldsill.coordination.leadership import commands
from marigoldsill.coordination.leadership import leadership
from marigoldsill.coordination.plans import change_requests
from marigoldsill.coordination.plans import guard_context
from marigoldsill.coordination.plans import planning
from marigoldsill.protocol import codec
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import changes
from marigoldsill.state import plans
from marigoldsill.state import state_machine

_TIMEOUT_S = 3.0
_ID_LENGTH_LIMIT = 128
_CONFIRMATIONS = prometheus_client.Counter(
    "marigoldsill_confirmations_total",
    "Answers to confirmations of plans, by outcome; resends count again.",
    ["outcome"],
)


class PlanCommands:
    """Creates and confirms plans while this process leads.

    A command that is resent, to this or to another control process, gets its first
    answer, because results are part of the replicated state.
    """

    def __init__(
        self,
        *,
        replica: replica_module.Replica,
        service: control_service.ControlService,
    ):
        self._replica = replica
        self._service = service

    def create_plan(
        self, action: str, body: bytes, *, operator_name: str, command_id: str
    ) -> ttypes.Plan:
        """Creates and records a plan without applying it.

        Args:
            action: One of `change_requests.ACTIONS`.
            body: The request body; its format depends on the action.
            operator_name: The operator who requests the plan.
            command_id: The operator's id of the command; a resend has the same.

        Raises:
            BadInputError: The action or the body is invalid.
            ConflictError: Nothing would change, or a name is taken.
            NotFoundError: A name is unknown, or the plan is no longer kept.
            NotLeaderError: Another process leads.
        """
        command_id = _scoped_command_id(
            operator_name, "plan", action, command_id, body
        )
        leadership.confirm(self._replica, timeout_s=_TIMEOUT_S)
        result = self._find_result(command_id)
        if result is None:
            plan = self._make_plan(action, body, operator_name)
            result = self._record_plan(command_id, plan)
        with self._replica.lock:
            plan = self._replica.tables.plans.get(result.plan_id)
        if plan is None:
            raise errors.NotFoundError(
                f"plan {result.plan_id} is no longer kept; make a new one"
            )
        return plan

    def confirm_plan(
        self,
        plan_id: int,
        acknowledged: list[str],
        *,
        operator_name: str,
        command_id: str,
    ) -> dict[str, object]:
        """Confirms a plan; a resend gets the first answer.

        Args:
            plan_id: The plan.
            acknowledged: The names of the guard rails that the operator acknowledges.
            operator_name: The operator who confirms.
            command_id: The operator's id of the command; a resend has the same.

        Raises:
            ConflictError: Another change was confirmed first.
            GuardError: A guard rail was not acknowledged.
            NotFoundError: There is no such plan.
            StalePlanError: The plan would now disrupt other runs as well; the message
                contains the id of a new plan.
        """
        command_id = _scoped_command_id(
            operator_name,
            "confirm",
            str(plan_id),
            command_id,
            "\0".join(sorted(acknowledged)).encode(),
        )
        leadership.confirm(self._replica, timeout_s=_TIMEOUT_S)
        result = self._find_result(command_id)
        newer = None if result else self._make_newer_plan(plan_id)
        if newer is not None:
            result = self._refuse_stale_plan(
                plan_id, newer, operator_name, command_id
            )
        if result is None:
            result = self._propose(
                command_id,
                confirm_plan=ttypes.ConfirmPlan(
                    plan_id=plan_id,
                    operator_name=operator_name,
                    acknowledged_guards=acknowledged,
                ),
            )
        outcome = ttypes.Outcome(result.outcome).name.lower()
        _CONFIRMATIONS.labels(outcome).inc()
        return _confirmation_reply(plan_id, result)

    def _make_newer_plan(self, plan_id: int) -> ttypes.Plan | None:
        """Makes a new plan of the same changes if a pending plan is out of date.

        Returns:
            The new plan if the changes now disrupt more runs or hit more guard rails
            than the plan says, else None.
        """
        with self._replica.lock:
            tables = self._replica.tables
            plan = tables.plans.get(plan_id)
            if plan is None or plan.state != ttypes.PlanState.PENDING:
                return None
            if plans.find_newer_version(tables, plan) is not None:
                return None
        newer = self._new_planner(plan.operator_name).make_plan(plan.changes)
        disruptions = changes.disruption_keys(newer.effects)
        hit_guards = {g.name for g in newer.guards}
        if disruptions <= changes.disruption_keys(
            plan.effects
        ) and hit_guards <= {g.name for g in plan.guards}:
            return None
        return newer

    def _refuse_stale_plan(
        self,
        plan_id: int,
        newer: ttypes.Plan,
        operator_name: str,
        command_id: str,
    ) -> ttypes.CommandResult:
        """Records the newer plan, and refuses the stale one."""
        recorded = self._record_plan(f"{command_id}/newer", newer)
        return self._propose(
            command_id,
            refuse_plan=ttypes.RefusePlan(
                plan_id=plan_id,
                operator_name=operator_name,
                reason=(
                    f"plan {plan_id} would disrupt other runs now than when it "
                    f"was made; plan {recorded.plan_id} shows its current "
                    f"effects. Review it, then confirm {recorded.plan_id}."
                ),
            ),
        )

    def _make_plan(
        self, action: str, body: bytes, operator_name: str
    ) -> ttypes.Plan:
        planner = self._new_planner(operator_name)
        requested = change_requests.parse(planner.tables, action, body)
        if not requested:
            raise errors.ConflictError(
                "nothing would change: all of it is in force already"
            )
        return planner.make_plan(requested)

    def _find_result(self, command_id: str) -> ttypes.CommandResult | None:
        with self._replica.lock:
            return state_machine.result_of(self._replica.tables, command_id)

    def _new_planner(self, operator_name: str) -> planning.Planner:
        # Planning takes a third of a second with 64,000 tasks. It uses a copy of the
        # tables, so that commands can be applied in the meantime.
        with self._replica.lock:
            tables = self._replica.tables.copy_for_simulation()
        return planning.Planner(
            tables=tables,
            observations=guard_context.Observations(
                now_unix_ms=commands.now_unix_ms(),
                called_services=self._service.watches.recently_called_services(),
                peak_usage_by_owner=self._service.usage.largest_by_owner(),
                predict_run_time_ms=self._service.run_time_ms,
            ),
            operator_name=operator_name,
        )

    def _record_plan(
        self, command_id: str, plan: ttypes.Plan
    ) -> ttypes.CommandResult:
        return self._propose(
            command_id, record_plan=ttypes.RecordPlan(plan=plan)
        )

    def _propose(self, command_id: str, **body: object) -> ttypes.CommandResult:
        command = commands.new(command_id=command_id, **body)
        return self._replica.propose(command, timeout_s=_TIMEOUT_S)


def _scoped_command_id(
    operator_name: str, verb: str, subject: str, client_id: str, body: bytes
) -> str:
    """Returns a command id that only identical commands of an operator share.

    Raises:
        BadInputError: The operator name or the given id is empty or too long.
    """
    for part in (operator_name, client_id):
        if not 0 < len(part) <= _ID_LENGTH_LIMIT:
            raise errors.BadInputError(
                f"invalid operator name or command id {part[:_ID_LENGTH_LIMIT]!r} "
                f"of {len(part)} characters: expected 1 to {_ID_LENGTH_LIMIT}"
            )
    digest = codec.digest(body)
    return "/".join((operator_name, verb, subject, client_id, f"{digest:x}"))


def _confirmation_reply(
    plan_id: int, result: ttypes.CommandResult
) -> dict[str, object]:
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
