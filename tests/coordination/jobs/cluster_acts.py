"""What may happen in the cluster model while a call of an agent is under way."""

from tests.coordination.jobs import cluster_faults

# What an agent does in a turn.
TURN = (
    cluster_faults.FaultyCluster.deliver_orders,
    cluster_faults.FaultyCluster.execute,
    cluster_faults.FaultyCluster.renew,
    cluster_faults.FaultyCluster.report,
)


def schedule(cluster: cluster_faults.FaultyCluster, _name: str) -> None:
    """Runs a round of the leader."""
    cluster.schedule()


def change_leader(cluster: cluster_faults.FaultyCluster, _name: str) -> None:
    """Begins a term of the other control process."""
    cluster.change_leader(keeps_logged=True)


def pass_answer_time(cluster: cluster_faults.FaultyCluster, _name: str) -> None:
    """Passes the time of a slow answer."""
    cluster.pass_time(cluster_faults.ANSWER_S)


def lose_capacity(cluster: cluster_faults.FaultyCluster, name: str) -> None:
    """Lets the worker announce that it has no capacity for a time."""
    cluster.announce_capacity(name, cores=0, duration_s=2.0)


def be_unwell(cluster: cluster_faults.FaultyCluster, name: str) -> None:
    """Lets the worker refuse starts and stops for a time, as it is not healthy."""
    worker = cluster.workers[name]
    worker.is_unwell = True
    cluster.end_later(2.0, lambda: setattr(worker, "is_unwell", False))


def evict(cluster: cluster_faults.FaultyCluster, position: int) -> None:
    """Lets the leader evict a run, which then continues elsewhere."""
    jobs = cluster.leader.jobs
    with cluster.leader.replica.lock:
        runs = cluster.leader.replica.tables.jobs.runs_by_agent
        keys = [(agent, key) for agent, each in runs.items() for key in each]
        if keys:
            agent, key = keys[position % len(keys)]
            cluster.counts["evictions"] += 1
            jobs.service.orders.evicted.add(key)
            jobs.service.refresh_orders({agent})
