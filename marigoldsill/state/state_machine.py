"""The state machine: applies commands to the tables.

Only this module changes the state. Applying is deterministic: the same commands
in the same order give the same tables on every replica. A command whose id was
applied before changes nothing and returns the first result again.
"""

from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import claims
from marigoldsill.state import jobs
from marigoldsill.state import plans
from marigoldsill.state import runs
from marigoldsill.state import tables as tables_module
from marigoldsill.state.run_outcomes import job_ends

# Numbers of results that are stored for commands that are sent again.
RESULTS_LIMIT = 20_000
OPERATOR_RESULTS_LIMIT = 10_000

_BODIES = (
    "record_plan",
    "confirm_plan",
    "refuse_plan",
    "assign_runs",
    "evict_runs",
    "throttle_runs",
    "record_run_events",
    "put_worker",
    "put_claim",
    "end_claim",
    "no_operation",
    "change_members",
    "mark_tasks",
    "replace_routing",
    "submit_job",
    "cancel_job",
    "grant_runs",
    "record_run_ends",
    "begin_occurrences",
    "forget_jobs",
    "record_learnt",
    "note_unresponsive",
    "note_entries",
    "set_evacuation",
)
_OPERATOR_BODIES = (
    ttypes.RecordPlan,
    ttypes.ConfirmPlan,
    ttypes.RefusePlan,
    ttypes.SetEvacuation,
)


def body_of(command: ttypes.Command) -> object:
    """Returns the body of a command (the field that is set), or None."""
    bodies = (getattr(command, name) for name in _BODIES)
    return next((body for body in bodies if body is not None), None)


def apply(
    tables: tables_module.Tables, command: ttypes.Command
) -> ttypes.CommandResult:
    """Applies one command and returns its result."""
    earlier_result = result_of(tables, command.command_id)
    if earlier_result is not None:
        return earlier_result
    result = _apply_body(tables, command)
    if command.command_id:
        _store_result(tables, command, result)
    return result


def result_of(
    tables: tables_module.Tables, command_id: str
) -> ttypes.CommandResult | None:
    """Returns the stored result of an applied command, or None."""
    operator_result = tables.operator_results.get(command_id)
    return operator_result or tables.results.get(command_id)


def _apply_body(
    tables: tables_module.Tables, command: ttypes.Command
) -> ttypes.CommandResult:
    now_unix_ms = command.proposed_unix_ms
    match body_of(command):
        case ttypes.RecordPlan(plan=plan):
            return plans.record(tables, plan, now_unix_ms)
        case ttypes.ConfirmPlan() as confirm:
            return plans.confirm(tables, confirm, now_unix_ms)
        case ttypes.RefusePlan() as refusal:
            return plans.refuse(tables, refusal, now_unix_ms)
        case ttypes.AssignRuns(assignments=assignments):
            return runs.assign(tables, assignments, now_unix_ms)
        case ttypes.EvictRuns(evictions=evictions):
            return runs.evict(tables, evictions)
        case ttypes.ThrottleRuns(throttles=throttles):
            return runs.throttle(tables, throttles)
        case ttypes.RecordRunEvents() as record:
            return runs.record_events(tables, record, now_unix_ms)
        case ttypes.PutWorker() as put:
            return runs.put_worker(tables, put)
        case ttypes.NoOperation(term=term):
            tables.leader_term = max(tables.leader_term, term)
            return _ok(tables)
        case ttypes.PutClaim(claim=claim, supersedes_attempt=superseded):
            return claims.put(
                tables, claim, now_unix_ms, supersedes_attempt=superseded
            )
        case ttypes.EndClaim() as end:
            return claims.end(tables, end)
        case ttypes.MarkTasks(marks=marks):
            return runs.mark_tasks(tables, marks)
        case ttypes.ChangeMembers(members=members):
            tables.members = members
            return _ok(tables)
        case ttypes.ReplaceRouting(routing=routing):
            return jobs.replace_routing(tables, routing)
        case ttypes.SubmitJob(job=job):
            return jobs.submit(tables, job, now_unix_ms)
        case ttypes.CancelJob(job_id=job_id):
            return jobs.cancel(tables, job_id, now_unix_ms)
        case ttypes.GrantRuns(grants=grants):
            return jobs.grant(tables, grants, now_unix_ms)
        case ttypes.RecordRunEnds() as record:
            return job_ends.record(tables, record, now_unix_ms)
        case ttypes.BeginOccurrences(due=due):
            return jobs.begin_occurrences(tables, due)
        case ttypes.ForgetJobs(job_ids=job_ids):
            return jobs.remove_ended(tables, job_ids)
        case ttypes.RecordLearnt() as learnt:
            tables.jobs.learnt.update(learnt)
            return _ok(tables)
        case ttypes.NoteUnresponsive(
            unresponsive=unresponsive, responsive=responsive
        ):
            tables.jobs.record_unresponsive(unresponsive, responsive)
            return _ok(tables)
        case ttypes.SetEvacuation() as order:
            return plans.apply_evacuation(tables, order, now_unix_ms)
        case ttypes.NoteEntries(addresses=addresses):
            tables.record_entries(addresses)
            return _ok(tables)
        case _:
            return _ok(tables)


def _ok(tables: tables_module.Tables) -> ttypes.CommandResult:
    return ttypes.CommandResult(state_version=tables.state_version)


def _store_result(
    tables: tables_module.Tables,
    command: ttypes.Command,
    result: ttypes.CommandResult,
) -> None:
    # Results of operators are stored separately, so that the many commands of
    # agents and entries do not displace one whose command may be sent again.
    results, limit = tables.results, RESULTS_LIMIT
    if isinstance(body_of(command), _OPERATOR_BODIES):
        results, limit = tables.operator_results, OPERATOR_RESULTS_LIMIT
    results[command.command_id] = result
    if len(results) > limit:
        del results[next(iter(results))]
