"""Plans, which are recorded and later confirmed at most once.

A confirmation is refused if the subjects of the plan have changed since the plan
was made. Evacuations can also be ordered without a plan.
"""

import dataclasses

from marigoldsill.protocol import records
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import audit
from marigoldsill.state import changes
from marigoldsill.state import tables as tables_module

PLANS_LIMIT = 1_000


@dataclasses.dataclass(slots=True, frozen=True)
class _Refusal:
    """A reason not to confirm a plan.

    Attributes:
        outcome: The outcome of the operator's command.
        message: The reason, and what the operator can do.
        is_final: Whether the plan can never be confirmed.
    """

    outcome: ttypes.Outcome
    message: str
    is_final: bool = True


def record(
    tables: tables_module.Tables, plan: ttypes.Plan, now_unix_ms: int
) -> ttypes.CommandResult:
    """Stores a plan under a new id."""
    stored = records.replace(
        plan, plan_id=tables.next_plan_id, created_unix_ms=now_unix_ms
    )
    tables.plans[stored.plan_id] = stored
    tables.next_plan_id += 1
    if len(tables.plans) > PLANS_LIMIT:
        del tables.plans[next(iter(tables.plans))]
    audit.append(tables, ttypes.AuditVerb.PLANNED, stored, now_unix_ms)
    return _result(tables, stored.plan_id)


def confirm(
    tables: tables_module.Tables,
    confirmation: ttypes.ConfirmPlan,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    """Applies a plan's changes, unless there is a reason to refuse it.

    Reasons are an earlier confirmation or refusal, a conflicting later change,
    disruptions that were not planned, and guards not acknowledged.
    """
    plan = tables.plans.get(confirmation.plan_id)
    if plan is None:
        return _result(tables, confirmation.plan_id, ttypes.Outcome.NOT_FOUND)
    refusal = _find_refusal(tables, plan, confirmation)
    if refusal is not None:
        return _refuse(
            tables, plan, refusal, confirmation.operator_name, now_unix_ms
        )
    apply_changes(tables, plan, confirmation.operator_name, now_unix_ms)
    plan = _set_state(tables, plan, ttypes.PlanState.CONFIRMED)
    audit.append(
        tables,
        ttypes.AuditVerb.CONFIRMED,
        plan,
        now_unix_ms,
        operator_name=confirmation.operator_name,
        reason=_acknowledgement(plan),
    )
    return _result(tables, plan.plan_id)


def refuse(
    tables: tables_module.Tables,
    refusal: ttypes.RefusePlan,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    """Refuses a plan because its effects would now differ."""
    plan = tables.plans.get(refusal.plan_id)
    if plan is None:
        return _result(tables, refusal.plan_id, ttypes.Outcome.NOT_FOUND)
    reason = _check_pending(tables, plan) or _Refusal(
        ttypes.Outcome.STALE, refusal.reason
    )
    return _refuse(tables, plan, reason, refusal.operator_name, now_unix_ms)


def apply_evacuation(
    tables: tables_module.Tables,
    order: ttypes.SetEvacuation,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    """Begins or ends an evacuation at once, without a plan to confirm."""
    change = changes.evacuation_change(
        tables, order.data_centre, evacuate=order.active
    )
    if change is None:
        return _result(tables, 0, ttypes.Outcome.ALREADY)
    plan = ttypes.Plan(operator_name=order.operator_name, changes=[change])
    apply_changes(tables, plan, order.operator_name, now_unix_ms)
    audit.append(
        tables,
        ttypes.AuditVerb.CONFIRMED,
        plan,
        now_unix_ms,
        reason="ordered without a plan",
    )
    return _result(tables, 0)


def find_newer_version(
    tables: tables_module.Tables, plan: ttypes.Plan
) -> ttypes.SubjectVersion | None:
    """Returns a version of a subject of the plan that is newer than the plan."""
    versions = (tables.versions.get(c.subject) for c in plan.changes)
    newer = (
        v for v in versions if v is not None and v.version > plan.state_version
    )
    return next(newer, None)


def _find_refusal(
    tables: tables_module.Tables,
    plan: ttypes.Plan,
    confirmation: ttypes.ConfirmPlan,
) -> _Refusal | None:
    return (
        _check_pending(tables, plan)
        or _check_conflict(tables, plan)
        or _check_disruptions(tables, plan)
        or _check_guards(plan, confirmation)
    )


def _check_pending(
    tables: tables_module.Tables, plan: ttypes.Plan
) -> _Refusal | None:
    if plan.state == ttypes.PlanState.PENDING:
        return None
    state = ttypes.PlanState(plan.state).name.lower()
    outcome = audit.find_outcome(tables, plan.plan_id)
    by_operator = (
        f" by operator {outcome.operator_name!r}" if outcome is not None else ""
    )
    return _Refusal(
        ttypes.Outcome.CONFLICT,
        f"plan {plan.plan_id} was already {state}{by_operator}; make a new plan "
        "to change anything more",
        is_final=False,
    )


def _check_conflict(
    tables: tables_module.Tables, plan: ttypes.Plan
) -> _Refusal | None:
    newer = find_newer_version(tables, plan)
    if newer is not None:
        return _Refusal(
            ttypes.Outcome.CONFLICT,
            f"plan {plan.plan_id} was made against state version "
            f"{plan.state_version}, but version {newer.version} of "
            f"{newer.subject} is in force (changed by {_source_of(newer)}). "
            "Make the plan again to see what it would do now.",
        )
    if plan.state_version < tables.forgotten_version:
        return _Refusal(
            ttypes.Outcome.CONFLICT,
            f"plan {plan.plan_id} was made against state version "
            f"{plan.state_version}; what was removed up to version "
            f"{tables.forgotten_version} is forgotten, so conflicts can't be "
            "ruled out. Make the plan again.",
        )
    return None


def _source_of(version: ttypes.SubjectVersion) -> str:
    """Describes what made a version, for a refusal."""
    if version.plan_id:
        return f"plan {version.plan_id}, operator {version.operator_name!r}"
    if version.subject.startswith("worker/"):
        return "an evacuation of its data centre"
    return f"an order without a plan, operator {version.operator_name!r}"


def _check_disruptions(
    tables: tables_module.Tables, plan: ttypes.Plan
) -> _Refusal | None:
    """Checks that the plan's changes disrupt no more runs than planned."""
    planned = changes.disruption_keys(plan.effects)
    current = changes.disruption_keys(changes.disruptions(tables, plan.changes))
    if current <= planned:
        return None
    verb, subject = min(current - planned)
    return _Refusal(
        ttypes.Outcome.STALE,
        f"plan {plan.plan_id} would now also "
        f"{ttypes.EffectVerb(verb).name.lower()} {subject} "
        f"({len(current - planned)} effects that were not planned). "
        "Make the plan again to see what it would do now.",
    )


def _check_guards(
    plan: ttypes.Plan, confirmation: ttypes.ConfirmPlan
) -> _Refusal | None:
    """Checks that the operator has acknowledged all guards of the plan."""
    acknowledged = set(confirmation.acknowledged_guards)
    missing = [g for g in plan.guards if g.name not in acknowledged]
    if not missing:
        return None
    messages = "; ".join(f"{g.name}: {g.message}" for g in missing)
    options = " ".join(
        f"--acknowledge {name}" for name in sorted({g.name for g in missing})
    )
    return _Refusal(
        ttypes.Outcome.GUARDED,
        f"plan {plan.plan_id} hit guard rails ({messages}). If that is meant, "
        f"confirm it with {options}",
        is_final=False,
    )


def _refuse(
    tables: tables_module.Tables,
    plan: ttypes.Plan,
    refusal: _Refusal,
    operator_name: str,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    if refusal.is_final:
        plan = _set_state(tables, plan, ttypes.PlanState.REFUSED)
    audit.append(
        tables,
        ttypes.AuditVerb.REFUSED,
        plan,
        now_unix_ms,
        operator_name=operator_name,
        reason=refusal.message,
    )
    return _result(tables, plan.plan_id, refusal.outcome, refusal.message)


def _acknowledgement(plan: ttypes.Plan) -> str:
    names = sorted({guard.name for guard in plan.guards})
    return f"acknowledged {', '.join(names)}" if names else ""


def apply_changes(
    tables: tables_module.Tables,
    plan: ttypes.Plan,
    operator_name: str,
    now_unix_ms: int,
) -> None:
    """Applies a plan's changes, as a new version of each subject."""
    tables.state_version += 1
    changes.apply(tables, plan.changes, now_unix_ms)
    for change in plan.changes:
        tables.set_version(
            ttypes.SubjectVersion(
                subject=change.subject,
                version=tables.state_version,
                plan_id=plan.plan_id,
                operator_name=operator_name,
                removed=change.verb == ttypes.ChangeVerb.REMOVE,
            )
        )


def _set_state(
    tables: tables_module.Tables, plan: ttypes.Plan, state: ttypes.PlanState
) -> ttypes.Plan:
    tables.plans[plan.plan_id] = records.replace(plan, state=state)
    return tables.plans[plan.plan_id]


def _result(
    tables: tables_module.Tables,
    plan_id: int,
    outcome: ttypes.Outcome = ttypes.Outcome.OK,
    message: str = "",
) -> ttypes.CommandResult:
    return ttypes.CommandResult(
        outcome=outcome,
        state_version=tables.state_version,
        plan_id=plan_id,
        message=message,
    )
