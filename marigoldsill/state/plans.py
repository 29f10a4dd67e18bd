"""Plans: recorded, then confirmed once against the versions they saw."""

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import audit
from marigoldsill.state import runs
from marigoldsill.state import tables as tables_module

PLANS_LIMIT = 1_000


def record(
    tables: tables_module.Tables, plan: ttypes.Plan, now_unix_ms: int
) -> ttypes.CommandResult:
    """Keeps a plan under a new id."""
    values = {slot: getattr(plan, slot) for slot in ttypes.Plan.__slots__}
    values |= {"plan_id": tables.next_plan_id, "created_unix_ms": now_unix_ms}
    kept = ttypes.Plan(**values)
    tables.plans[kept.plan_id] = kept
    tables.next_plan_id += 1
    if len(tables.plans) > PLANS_LIMIT:
        del tables.plans[next(iter(tables.plans))]
    audit.append(tables, ttypes.AuditVerb.PLANNED, kept, now_unix_ms)
    return _result(tables, kept.plan_id)


def confirm(
    tables: tables_module.Tables,
    confirmation: ttypes.ConfirmPlan,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    """Makes a plan's changes, if nothing it touches has changed since."""
    plan = tables.plans.get(confirmation.plan_id)
    if plan is None:
        return _result(tables, confirmation.plan_id, ttypes.Outcome.NOT_FOUND)
    if plan.state != ttypes.PlanState.PENDING:
        return _result(
            tables,
            plan.plan_id,
            ttypes.Outcome.CONFLICT,
            f"plan {plan.plan_id} was already "
            f"{ttypes.PlanState(plan.state).name.lower()}",
        )
    winner = _winner(tables, plan)
    if winner is not None:
        message = (
            f"plan {plan.plan_id} was made against state version "
            f"{plan.state_version}, but version {winner.version} of "
            f"{winner.subject} is in force (changed by plan "
            f"{winner.plan_id}, operator {winner.operator_name!r}). "
            "Make the plan again to see what it would do now."
        )
        return _refused(
            tables, plan, ttypes.Outcome.CONFLICT, message, now_unix_ms
        )
    missing = _unacknowledged(plan, confirmation)
    if missing:
        message = (
            f"plan {plan.plan_id} hit guard rails that must be acknowledged "
            f"by name: {', '.join(missing)}"
        )
        return _result(tables, plan.plan_id, ttypes.Outcome.GUARDED, message)
    _make_changes(tables, plan, confirmation.operator_name, now_unix_ms)
    plan.state = ttypes.PlanState.CONFIRMED
    audit.append(
        tables,
        ttypes.AuditVerb.CONFIRMED,
        plan,
        now_unix_ms,
        operator_name=confirmation.operator_name,
    )
    return _result(tables, plan.plan_id)


def refuse(
    tables: tables_module.Tables,
    refusal: ttypes.RefusePlan,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    """Ends a plan that may not be confirmed any more."""
    plan = tables.plans.get(refusal.plan_id)
    if plan is None or plan.state != ttypes.PlanState.PENDING:
        return _result(tables, refusal.plan_id, ttypes.Outcome.NOT_FOUND)
    return _refused(
        tables, plan, ttypes.Outcome.STALE, refusal.reason, now_unix_ms
    )


def _refused(
    tables: tables_module.Tables,
    plan: ttypes.Plan,
    outcome: ttypes.Outcome,
    message: str,
    now_unix_ms: int,
) -> ttypes.CommandResult:
    plan.state = ttypes.PlanState.REFUSED
    audit.append(
        tables, ttypes.AuditVerb.REFUSED, plan, now_unix_ms, reason=message
    )
    return _result(tables, plan.plan_id, outcome, message)


def _winner(
    tables: tables_module.Tables, plan: ttypes.Plan
) -> ttypes.SubjectVersion | None:
    touched = (tables.versions.get(c.subject) for c in plan.changes)
    later = (
        v for v in touched if v is not None and v.version > plan.state_version
    )
    return next(later, None)


def _unacknowledged(
    plan: ttypes.Plan, confirmation: ttypes.ConfirmPlan
) -> list[str]:
    given = set(confirmation.acknowledged_guards)
    return sorted({g.name for g in plan.guards} - given)


def _make_changes(
    tables: tables_module.Tables,
    plan: ttypes.Plan,
    operator_name: str,
    now_unix_ms: int,
) -> None:
    tables.state_version += 1
    for change in plan.changes:
        _make_change(tables, change, now_unix_ms)
        tables.set_version(
            ttypes.SubjectVersion(
                subject=change.subject,
                version=tables.state_version,
                plan_id=plan.plan_id,
                operator_name=operator_name,
                removed=change.verb == ttypes.ChangeVerb.REMOVE,
            )
        )


def _make_change(
    tables: tables_module.Tables, change: ttypes.Change, now_unix_ms: int
) -> None:
    name = change.subject.partition("/")[2]
    match change.verb:
        case ttypes.ChangeVerb.ADD | ttypes.ChangeVerb.REPLACE:
            _put(tables, change, now_unix_ms)
        case ttypes.ChangeVerb.REMOVE:
            _remove(tables, change.subject)
        case ttypes.ChangeVerb.CANCEL:
            for task in tables.tasks_of(name):
                runs.stop_for_good(tables, task.name, "cancelled")
        case ttypes.ChangeVerb.DRAIN:
            _set_worker(tables, name, ttypes.WorkerState.DRAINING)
        case ttypes.ChangeVerb.UNDRAIN:
            _set_worker(tables, name, ttypes.WorkerState.ACTIVE)
        case ttypes.ChangeVerb.POLICY:
            tables.set_policy(change.policy_after)


def _put(
    tables: tables_module.Tables, change: ttypes.Change, now_unix_ms: int
) -> None:
    if change.service_after is not None:
        service = change.service_after
        tables.services[service.name] = service
        _scale(
            tables,
            service.name,
            ttypes.Kind.SERVICE,
            service.instances_count,
            now_unix_ms,
        )
    elif change.batch_job_after is not None:
        job = change.batch_job_after
        tables.batch_jobs[job.name] = job
        _scale(tables, job.name, ttypes.Kind.BATCH_JOB, 1, now_unix_ms)
    elif change.watcher_after is not None:
        watcher = change.watcher_after
        tables.watchers[watcher.name] = watcher
        _scale(tables, watcher.name, ttypes.Kind.WATCHER, 1, now_unix_ms)
    elif change.team_after is not None:
        tables.teams[change.team_after.name] = change.team_after


def _scale(
    tables: tables_module.Tables,
    owner: str,
    kind: ttypes.Kind,
    count: int,
    now_unix_ms: int,
) -> None:
    wanted = {f"{owner}/{index}" for index in range(count)}
    held = tables.tasks_by_owner.get(owner, set())
    for name in sorted(wanted - held):
        tables.put_task(
            ttypes.Task(
                name=name,
                owner=owner,
                kind=kind,
                queued_unix_ms=now_unix_ms,
                absent_since_unix_ms=now_unix_ms,
                reserved=ttypes.Resources(),
                reason="waits for a worker",
            )
        )
    for name in sorted(held - wanted):
        runs.stop_for_good(tables, name, "scaled down")


def _remove(tables: tables_module.Tables, subject: str) -> None:
    kind, _, name = subject.partition("/")
    match kind:
        case "service":
            tables.services.pop(name, None)
        case "batch_job":
            tables.batch_jobs.pop(name, None)
        case "watcher":
            tables.watchers.pop(name, None)
        case "team":
            tables.teams.pop(name, None)
            return
    for task in tables.tasks_of(name):
        runs.stop_for_good(tables, task.name, "removed")
        if not tables_module.holds_worker(tables.tasks[task.name]):
            tables.remove_task(task.name)


def _set_worker(
    tables: tables_module.Tables, name: str, state: ttypes.WorkerState
) -> None:
    worker = tables.workers.get(name)
    if worker is not None:
        worker.state = state


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
