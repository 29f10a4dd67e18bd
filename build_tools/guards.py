"""The guards against a second run, each with the edit that undoes it.

Each protects one way in which an end is concluded or a start is allowed.
"""

import dataclasses

_AGENT = "marigoldsill/coordination/job_agent"
_HELD = "marigoldsill/coordination/held_runs"
_JOBS = "marigoldsill/coordination/jobs"
_LEADERSHIP = "marigoldsill/coordination/leadership"
_TWO_AGENTS = "TestCluster"
_ONE_AGENT = "TestConcludingLeader"


@dataclasses.dataclass(slots=True, frozen=True)
class Guard:
    """A guard.

    Attributes:
        protects: What is concluded or allowed.
        path: The module, relative to the repository.
        code: The code of the guard, which occurs once in the module.
        undone: What replaces it.
        machine: The test of the cluster model that has to find it.
        doubled_by: Guards that prevent the same by themselves; they are undone with it.
    """

    protects: str
    path: str
    code: str
    undone: str
    machine: str = _TWO_AGENTS
    doubled_by: tuple[str, ...] = ()


GUARDS = {
    "same-task": Guard(
        "a start beside another run of its task",
        f"{_AGENT}/start_checks.py",
        "return any(task == order.task for task, _ in keys)",
        "return False",
        _ONE_AGENT,
    ),
    "step-limit": Guard(
        "a start beside other runs of its step",
        f"{_AGENT}/start_checks.py",
        "if limit and task_names.count_of_step(order.task, others) >= limit:",
        "if False:",
        _ONE_AGENT,
    ),
    "capacity": Guard(
        "a start within the capacity",
        f"{_AGENT}/start_checks.py",
        "if not self._fits(order, others):",
        "if False:",
        _ONE_AGENT,
    ),
    "second-check": Guard(
        "a start that was checked when it became due",
        f"{_AGENT}/start_checks.py",
        "return not _has_task(order, others) and not self._conflict(\n"
        "            order, others\n"
        "        )",
        "return True",
        _ONE_AGENT,
    ),
    "removed-order": Guard(
        "a run whose order was removed",
        f"{_HELD}/held_runs.py",
        "run.removed_s = now_s",
        "self._forget_order(key, run)",
        _ONE_AGENT,
    ),
    "inherited-order": Guard(
        "a run that an earlier process of the agent may have started",
        f"{_AGENT}/run_orders.py",
        "self._held.record_inherited(order)",
        "pass",
    ),
    "unknown-run": Guard(
        "a start beside runs that nobody ordered",
        f"{_AGENT}/agent_record.py",
        "and self.held.knows_all_listed()",
        "",
        _ONE_AGENT,
    ),
    "old-reply": Guard(
        "the orders in a reply of an earlier term",
        f"{_AGENT}/agent_state.py",
        "if reply.term < self.term:",
        "if False:",
        doubled_by=("lease-term",),
    ),
    "lease-term": Guard(
        "a start by orders of another term than that of the lease",
        f"{_AGENT}/run_orders.py",
        "and lease.term == self.term",
        "",
    ),
    "old-lease": Guard(
        "the lease in a reply of an earlier term",
        f"{_AGENT}/agent_state.py",
        "if lease.term < self.term:",
        "if False:",
    ),
    "ended-order": Guard(
        "a reply that is older than the record of an end",
        f"{_AGENT}/run_orders.py",
        "self._ended[key] = (term, version)",
        "pass",
    ),
    "orders-version": Guard(
        "orders that are older than the lease",
        f"{_AGENT}/run_orders.py",
        "and self.version >= lease.min_orders_version",
        "",
    ),
    "unanswered-start": Guard(
        "the end of a run that was refused after an unanswered start",
        f"{_AGENT}/executor.py",
        "not self._held.may_have_begun(key)",
        "not self._held.is_started(key)",
    ),
    "listed-stop": Guard(
        "the end of a run that was stopped and isn't listed",
        f"{_HELD}/held_record.py",
        "count > 0 and self.listings.lack(key, after_count=count)",
        "count > 0 and key not in self.listed",
    ),
    "refusal": Guard(
        "the end of a run whose last start was refused",
        f"{_HELD}/held_runs.py",
        "        if not run.has_unanswered_start:",
        "        run.has_unanswered_start = False\n        if True:",
    ),
    "single-request": Guard(
        "the end of a run whose start was refused on a second connection",
        "marigoldsill/platform/worker_client.py",
        'return self._order("run-start", worker_id, body, single_copy=True)',
        'return self._order("run-start", worker_id, body)',
    ),
    "lost-incarnation": Guard(
        "the end of a run of an incarnation that doesn't answer",
        "marigoldsill/coordination/worker_incarnations/incarnations.py",
        "return self.has_ended(worker_id)",
        "return True",
    ),
    "departure-lease": Guard(
        "the end of a deregistered incarnation that doesn't answer",
        f"{_AGENT}/departure_watch.py",
        "elif clock.now_s() > self._lease_end_s(worker_id):",
        "else:",
    ),
    "lapsed-lease": Guard(
        "the loss of runs whose lease has expired",
        f"{_LEADERSHIP}/leases.py",
        "lease_ms / 1000 * DRIFT_RATIO + MARGIN_S",
        "lease_ms / 2000",
    ),
    "lease-margin": Guard(
        "the same, on a worker whose clock is slow",
        f"{_LEADERSHIP}/leases.py",
        "lease_ms / 1000 * DRIFT_RATIO + MARGIN_S",
        "lease_ms / 1000",
    ),
    "closed-lease": Guard(
        "the same, while the loss is recorded",
        f"{_LEADERSHIP}/leases.py",
        "if agent in self._closed or agent in self._suspension_numbers:",
        "if agent in self._suspension_numbers:",
    ),
    "suspended-lease": Guard(
        "a bound from the log, while its record is under way",
        f"{_LEADERSHIP}/leases.py",
        "if agent in self._closed or agent in self._suspension_numbers:",
        "if agent in self._closed:",
    ),
    "new-term-lease": Guard(
        "the loss of runs in a new term",
        f"{_LEADERSHIP}/leases.py",
        "self._min_end_s = latest_end_s(lease_ms)",
        "self._min_end_s = 0.0",
    ),
    "log-bound": Guard(
        "a bound from the log, after the agent has responded",
        f"{_JOBS}/unresponsive_agents.py",
        "del self._bounds_s[agent]",
        "pass",
    ),
    "decided-term": Guard(
        "a loss that was decided in an earlier term",
        "marigoldsill/state/run_outcomes/job_ends.py",
        "if 0 < report.decided_term < tables.leader_term:",
        "if False:",
    ),
    "earlier-process": Guard(
        "a report of an earlier process of the agent",
        "marigoldsill/coordination/job_placing/agents.py",
        "if view is None or view.incarnation <= report.incarnation:",
        "if True:",
    ),
    "known-term": Guard(
        "the same, of a process that knew another term",
        f"{_JOBS}/report_handler.py",
        "if report.known_term not in (0, term):",
        "if False:",
    ),
    "settled-process": Guard(
        "a lease for a new process of an agent",
        f"{_JOBS}/report_handler.py",
        "is_settled = self._settled_incarnations[agent] == incarnation",
        "is_settled = True",
    ),
}
