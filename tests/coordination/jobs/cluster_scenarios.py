"""Faults of the cluster model that come together, as one kind of failure."""

from collections.abc import Callable
from collections.abc import Sequence
import math

from tests.coordination.jobs import cluster_acts
from tests.coordination.jobs import cluster_faults
from tests.coordination.jobs import model_control

# Longer than a lease of the leader.
_LEASE_S = 8.5
# An agent reports that its worker does not answer after this time.
_SILENCE_S = 2.1
# The leader records an agent as unresponsive after this time.
_NOTED_S = 2.6
# A worker refuses a start, and then the agent concludes the end of the run.
_REFUSING_ROUNDS = 2
# Rounds around the end of a lease are this close.
_CLOSE_S = 0.11
_CLOSE_ROUNDS = 20
# Rounds in between are this far apart.
_LONG_S = 1.2
# Longer than until an agent that was cut off has a lease again.
_RETURNING_ROUNDS = 8
_Cluster = cluster_faults.FaultyCluster


def refuse_starts(
    cluster: _Cluster, name: str, reason: cluster_faults.Act
) -> None:
    """Lets an agent refuse what it is ordered to start, for a reason that passes."""
    reason(cluster, name)
    for _ in range(_REFUSING_ROUNDS):
        cluster.execute(name)
    cluster.announce_capacity(name, cores=cluster_faults.WORKER_CORES)
    cluster.workers[name].is_unwell = False


def replace_refusing_agent(
    cluster: _Cluster,
    name: str,
    *,
    reason: cluster_faults.Act,
    is_report_late: bool,
    changes_leader: bool,
    rounds_count: int,
) -> None:
    """Replaces the process of an agent whose refusals are not known to be recorded.

    Args:
        cluster: The cluster.
        name: The agent.
        reason: Why it refuses starts.
        is_report_late: Whether its report arrives late; if not, the outcome of the
            record is unknown.
        changes_leader: Whether another control process leads by then.
        rounds_count: How many rounds the next process has until then.
    """
    cluster.schedule()
    cluster.deliver_orders(name)
    refuse_starts(cluster, name, reason)
    if is_report_late:
        cluster.links[name].is_late = True
    else:
        cluster.lose_proposal(model_control.is_report)
    cluster.report(name)
    cluster.restart_agent(name)
    for _ in range(rounds_count):
        for act in cluster_acts.TURN:
            act(cluster, name)
        cluster.pass_time(0.1)
    if changes_leader:
        cluster.change_leader(keeps_logged=True)
    while cluster.deliver_late_report(name, 0):
        pass


def refuse_during_reply(
    cluster: _Cluster,
    name: str,
    *,
    reason: cluster_faults.Act,
    is_worker_silent: bool,
    acts_after: Sequence[cluster_faults.Act],
) -> None:
    """Lets orders arrive that are older than the record of the refusal of a run.

    Args:
        cluster: The cluster.
        name: The agent.
        reason: Why it refuses starts.
        is_worker_silent: Whether it gets no lease as its worker does not answer.
        acts_after: What it does next.
    """
    if is_worker_silent:
        cluster.leave_unanswered(
            name, "renew", duration_s=2.0 * _SILENCE_S, lateness_s=math.inf
        )
        cluster.pass_time(_SILENCE_S)
    cluster.schedule()

    def refuse(cluster: _Cluster, name: str) -> None:
        refuse_starts(cluster, name, reason)

    cluster.call_slowly(
        name,
        _Cluster.deliver_orders,
        [
            _Cluster.deliver_orders,
            refuse,
            _Cluster.report,
            _Cluster.execute,
        ],
    )
    for act in acts_after:
        act(cluster, name)


def start_slowly(
    cluster: _Cluster,
    name: str,
    *,
    acts_before_calls: list[cluster_faults.Act],
    acts_before_answer: list[cluster_faults.Act],
) -> None:
    """Lets an agent start what it is ordered to, and acts happen meanwhile.

    Args:
        cluster: The cluster.
        name: The agent.
        acts_before_calls: What happens before the requests are sent.
        acts_before_answer: What happens before the first answer.
    """
    cluster.schedule()
    cluster.deliver_orders(name)
    cluster.execute_slowly(
        name,
        acts_before_calls=acts_before_calls,
        acts_before_answer=acts_before_answer,
    )


def refuse_second_requests(
    cluster: _Cluster, name: str, *, lateness_s: float
) -> None:
    """Breaks connections of starts to a worker that refuses what is sent again.

    Args:
        cluster: The cluster.
        name: The agent of the worker.
        lateness_s: How late the first requests are carried out.
    """
    cluster.schedule()
    cluster.deliver_orders(name)
    cluster.break_connections(
        name, "start", duration_s=2.0, lateness_s=lateness_s
    )
    refuse_starts(cluster, name, cluster_acts.be_unwell)


def evict_unlisted_runs(
    cluster: _Cluster, name: str, *, call: str, lateness_s: float
) -> None:
    """Evicts all runs while a worker begins and stops them slowly.

    Args:
        cluster: The cluster.
        name: The agent of the worker.
        call: The calls that the worker leaves unanswered meanwhile.
        lateness_s: How late it carries them out.
    """
    cluster.schedule()
    cluster.deliver_orders(name)
    cluster.stop_slowly(name, duration_s=2.0)
    cluster.leave_unanswered(name, call, duration_s=2.0, lateness_s=lateness_s)
    cluster.execute(name)
    for position in range(cluster_faults.WORKER_CORES):
        cluster_acts.evict(cluster, position)


def freeze_agent(
    cluster: _Cluster,
    name: str,
    *,
    is_reply_under_way: bool,
    changes_leader: bool,
    acts_after: Sequence[cluster_faults.Act],
) -> None:
    """Freezes an agent until its lease is over.

    Args:
        cluster: The cluster.
        name: The agent.
        is_reply_under_way: Whether its orders are on their way to it meanwhile, and
            arrive after it has a lease again. If not, it has them before.
        changes_leader: Whether another control process leads by then.
        acts_after: What it does next, in this order.
    """
    cluster.schedule()

    def freeze(cluster: _Cluster, name: str) -> None:
        cluster.freeze_agent(name, duration_s=_LEASE_S)
        if changes_leader:
            cluster.change_leader(keeps_logged=True)

    if is_reply_under_way:
        # A new leader asks for the worker before it grants a lease.
        acts = [freeze, _Cluster.renew, _Cluster.report, _Cluster.report]
        cluster.call_slowly(name, _Cluster.deliver_orders, acts)
    else:
        cluster.deliver_orders(name)
        freeze(cluster, name)
    for act in acts_after:
        act(cluster, name)


def begin_unordered_run(cluster: _Cluster, name: str, *, cores: int) -> None:
    """Lets a worker list a run that no order tells of, and end it slowly."""
    if cluster.begin_unordered_run(name, cores=cores):
        cluster.stop_slowly(name, duration_s=_SILENCE_S)


def leave_silently(
    cluster: _Cluster, name: str, *, leaves_after_s: float
) -> None:
    """Lets a worker that drains deregister and end later, without answers until then."""
    cluster.drain(name)
    cluster.run_in_turn(rounds_count=1, pause_s=0.3)
    cluster.leave_unanswered(
        name, "renew", duration_s=leaves_after_s, lateness_s=math.inf
    )
    cluster.deregister(name, leaves_after_s=leaves_after_s)


def lose_contact(
    cluster: _Cluster,
    name: str,
    *,
    duration_s: float,
    rounds_before_count: int,
    fault_of_records: Callable[[_Cluster, str], None] | None = None,
) -> None:
    """Cuts an agent off, and then also its worker, until leases end.

    Args:
        cluster: The cluster.
        name: The agent.
        duration_s: For how long.
        rounds_before_count: How many rounds later the worker answers no renewal.
        fault_of_records: Brings about what happens while the leader records that the
            agent does not respond, or the loss of its runs.
    """
    cluster.cut_off(name, "is_cut", duration_s=duration_s)
    cluster.run_in_turn(rounds_count=rounds_before_count, pause_s=0.3)
    cluster.leave_unanswered(
        name, "renew", duration_s=duration_s, lateness_s=math.inf
    )
    if fault_of_records is not None:
        fault_of_records(cluster, name)
    # The leader notes which agents are silent.
    cluster.run_in_turn(rounds_count=1, pause_s=_NOTED_S)
    cluster.schedule()
    rest_s = duration_s - rounds_before_count * 0.3 - _NOTED_S
    quiet_s = rest_s - _CLOSE_ROUNDS * _CLOSE_S
    # The others keep their leases.
    cluster.run_in_turn(
        rounds_count=max(0, int(quiet_s / _LONG_S)), pause_s=_LONG_S
    )
    cluster.run_in_turn(rounds_count=_CLOSE_ROUNDS, pause_s=_CLOSE_S)


def meet_before_note(cluster: _Cluster, name: str) -> None:
    """Lets an agent reach the leader and its worker while it is recorded as silent."""

    def meet() -> None:
        cluster.links[name].is_cut = False
        cluster.workers[name].unanswered.discard("renew")
        for act in (_Cluster.renew, _Cluster.report, _Cluster.renew):
            act(cluster, name)
        cluster.workers[name].unanswered.add("renew")
        cluster.links[name].is_cut = True

    cluster.call_before_proposal(model_control.is_note, meet)


def lose_term_before_losses(cluster: _Cluster, name: str) -> None:
    """Lets another leader have contact while a leader records losses.

    The first one then leads again.
    """

    def lose_term() -> None:
        cluster.links[name].is_cut = False
        cluster.workers[name].unanswered.discard("renew")
        cluster.lose_term(rounds_count=_RETURNING_ROUNDS, returns=True)

    cluster.call_before_proposal(model_control.is_loss, lose_term)
