"""Whether a cluster of the model settles once its faults have ended."""

from marigoldsill.protocol import task_names
from marigoldsill.protocol.generated import ttypes
from tests.coordination.jobs import cluster_faults

# Longer than leases, and than most runs.
_QUIET_ROUNDS = 18
# Enough for an agent to report an end, and for the leader to remove its order.
_REPORTING_ROUNDS = 4


def unexecuted_orders(
    cluster: cluster_faults.FaultyCluster,
) -> list[ttypes.RunOrder]:
    """Returns the orders to run what is not on the worker."""
    return [
        order
        for name, agent in cluster.agents.items()
        for key, order in agent.state.orders.items()
        if order.desire == ttypes.RunDesire.RUN
        and key not in cluster.workers[name].running
    ]


def stuck_orders(
    cluster: cluster_faults.FaultyCluster,
) -> list[ttypes.RunOrder]:
    """Returns the orders to run that no report of an end removes in some rounds."""
    before = unexecuted_orders(cluster)
    if before:
        cluster.run_in_turn(rounds_count=_REPORTING_ROUNDS, pause_s=0.5)
    return [order for order in unexecuted_orders(cluster) if order in before]


def unordered_runs(
    cluster: cluster_faults.FaultyCluster,
) -> list[task_names.RunKey]:
    """Returns the runs on workers that their agents have no order for."""
    return [
        key
        for name, agent in cluster.agents.items()
        for key in cluster.workers[name].running
        if key not in agent.state.orders
    ]


def settle(cluster: cluster_faults.FaultyCluster, *, rounds_count: int) -> None:
    """Lets everything run without faults until nothing changes any more."""
    cluster.heal()
    quiet_rounds_count = 0
    for _ in range(rounds_count):
        committed_count = len(cluster.group.committed)
        cluster.run_in_turn(rounds_count=1, pause_s=0.5)
        quiet_rounds_count += 1
        if len(cluster.group.committed) > committed_count:
            quiet_rounds_count = 0
        is_settled = not unexecuted_orders(cluster) and not unordered_runs(
            cluster
        )
        if is_settled and quiet_rounds_count >= _QUIET_ROUNDS:
            return
