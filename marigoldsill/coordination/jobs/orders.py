"""Orders to agents, sent as differences between numbered versions.

An agent's orders are the runs that may be alive on its worker, each with its desired
state. An agent sends the version that it has and gets the changes since then, or all
orders if the leader does not have these changes. Replies may be repeated or lost
without effect.

Each reply also names the data centres that are evacuated. A change of these is a new
version of the orders of every agent. As a lease names the version from which runs may
start, an agent without the news of an evacuation starts nothing once its lease is
renewed.

Each reply names the pools that workers may belong to as well. Their changes are no new
version, as an agent only needs them to refuse announcements of other writers.
"""

import collections
import dataclasses

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from marigoldsill.state import job_tables
from marigoldsill.state import tables as tables_module

# Changes stored for each agent. An agent that is further behind gets all orders.
HISTORY_LIMIT = 1_000


@dataclasses.dataclass(slots=True)
class _AgentOrders:
    """The orders of one agent.

    Attributes:
        version: The number of changes so far.
        desired: The desired state and the quota in percent of each run.
        history: The last changes, as the version and the run that changed; None
            for a change that concerns no run.
    """

    version: int = 0
    desired: dict[task_names.RunKey, tuple] = dataclasses.field(
        default_factory=dict
    )
    history: collections.deque[tuple[int, task_names.RunKey | None]] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(maxlen=HISTORY_LIMIT)
        )
    )


class Orders:
    """Orders of all agents in one term of this leader.

    Called with the replica's lock held.

    Attributes:
        term: The term for which they were computed anew last.
        evicted: Runs that are evicted and have to stop, by (task, run).
        quotas: The quota of a run in percent of its speed, where below 100.
        tickets: The adviser's ticket of a run, where it needs one.
    """

    def __init__(self):
        self._by_agent: dict[str, _AgentOrders] = {}
        self.term = 0
        self.evicted: set[task_names.RunKey] = set()
        self.quotas: dict[task_names.RunKey, int] = {}
        self.tickets: dict[task_names.RunKey, str] = {}
        self._evacuated_data_centres: set[str] = set()

    def reset(self, tables: tables_module.Tables, *, term: int) -> None:
        """Computes all orders anew, as this process leads a new term."""
        self._by_agent = {}
        self.term = term
        self.evicted.clear()
        self.quotas.clear()
        self.tickets.clear()
        self._evacuated_data_centres = set(tables.evacuated_data_centres)
        for agent in tables.jobs.runs_by_agent:
            self.refresh(tables, agent)

    def version(self, agent: str) -> int:
        """The current version of an agent's orders."""
        agent_orders = self._by_agent.get(agent)
        return 0 if agent_orders is None else agent_orders.version

    def refresh(self, tables: tables_module.Tables, agent: str) -> bool:
        """Computes an agent's orders again; returns whether they changed."""
        agent_orders = self._by_agent.setdefault(agent, _AgentOrders())
        runs = tables.jobs.runs_by_agent.get(agent, {})
        desired = {
            key: (
                self._desired_state(tables, key, run),
                self.quotas.get(key, 100),
            )
            for key, run in runs.items()
        }
        changed = [
            k for k, v in desired.items() if agent_orders.desired.get(k) != v
        ]
        removed = [k for k in agent_orders.desired if k not in desired]
        if not changed and not removed:
            return False
        for key in (*changed, *removed):
            agent_orders.version += 1
            agent_orders.history.append((agent_orders.version, key))
        for key in removed:
            self.evicted.discard(key)
            self.quotas.pop(key, None)
            self.tickets.pop(key, None)
        agent_orders.desired = desired
        return True

    def refresh_evacuations(self, tables: tables_module.Tables) -> bool:
        """Returns whether other data centres are evacuated than at the last call.

        If so, the orders of all agents get a new version.
        """
        if tables.evacuated_data_centres == self._evacuated_data_centres:
            return False
        self._evacuated_data_centres = set(tables.evacuated_data_centres)
        for agent_orders in self._by_agent.values():
            agent_orders.version += 1
            agent_orders.history.append((agent_orders.version, None))
        return True

    def changes_since(
        self,
        tables: tables_module.Tables,
        request: ttypes.OrdersRequest,
        *,
        term: int,
    ) -> ttypes.OrdersReply:
        """Returns the changes since the version that an agent has.

        Args:
            tables: The replicated state.
            request: The request with the agent's version and its term.
            term: The term of this leader.
        """
        agent_orders = self._by_agent.setdefault(request.agent, _AgentOrders())
        reply = ttypes.OrdersReply(
            term=term,
            version=agent_orders.version,
            evacuated_data_centres=sorted(tables.evacuated_data_centres),
            pools=sorted(tables.jobs.used_pools),
        )
        keys: set[task_names.RunKey] = set(agent_orders.desired)
        if request.term != term or not _has_changes_since(
            agent_orders, request.version
        ):
            reply.whole = True
        else:
            keys = {
                k
                for v, k in agent_orders.history
                if v > request.version and k is not None
            }
        runs = tables.jobs.runs_by_agent.get(request.agent, {})
        reply.orders = [
            self._build_order(tables, key, runs[key], agent_orders.desired[key])
            for key in keys
            if key in agent_orders.desired
        ]
        reply.removed = [
            ttypes.RunId(task=task, run=run)
            for task, run in keys
            if (task, run) not in agent_orders.desired
        ]
        return reply

    def _desired_state(
        self,
        tables: tables_module.Tables,
        key: task_names.RunKey,
        live: job_tables.LiveRun,
    ) -> ttypes.RunDesire:
        record = tables.jobs.jobs[live.address.job_id]
        task = job_tables.find_task(record, live.address)
        if record.state in job_tables.ENDED or task.done:
            return ttypes.RunDesire.STOP
        if key in self.evicted:
            return ttypes.RunDesire.STOP
        return ttypes.RunDesire.RUN

    def _build_order(
        self,
        tables: tables_module.Tables,
        key: task_names.RunKey,
        live: job_tables.LiveRun,
        desired: tuple[ttypes.RunDesire, int],
    ) -> ttypes.RunOrder:
        desire, quota_percent = desired
        order = ttypes.RunOrder(
            task=live.task,
            run=live.run,
            desire=desire,
            worker_id=live.worker_id,
            quota_percent=quota_percent,
            ticket=self.tickets.get(key, ""),
        )
        address = live.address
        record = tables.jobs.jobs[address.job_id]
        step = record.job.steps[address.step]
        order.resources = _reserved_resources(step)
        if desire == ttypes.RunDesire.RUN:
            order.best_effort = step.best_effort
            order.spread_limit = step.spread_limit or None
            task = job_tables.find_task(record, address)
            order.tail_target_ms = step.tail_target_ms
            order.image = step.image
            order.cpu_millicores = step.resources.cpu_millicores
            run = next(r for r in task.runs if r.run == live.run)
            order.command = record.job.command
            order.checkpoint_id = run.checkpoint_id
            # If the agent ends with its worker, nobody else knows that the run began.
            order.must_report_start = bool(task.losses)
        return order


def _reserved_resources(step: ttypes.Step) -> ttypes.Resources:
    """The resources that a run reserves; best-effort runs reserve no CPU."""
    if not step.best_effort:
        return step.resources
    return ttypes.Resources(
        memory_bytes=step.resources.memory_bytes,
        accelerators_count=step.resources.accelerators_count,
    )


def _has_changes_since(agent_orders: _AgentOrders, version: int) -> bool:
    """Whether the history has every change after a version."""
    if version > agent_orders.version:
        return False
    missed_count = agent_orders.version - version
    return missed_count <= len(agent_orders.history)
