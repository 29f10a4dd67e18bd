"""A state machine of agents whose workers keep their names."""

import collections

from tests.coordination.jobs import cluster_machine
from tests.coordination.jobs import model_worker


class RestartingMachine(cluster_machine.ClusterMachine):
    """Agents whose workers keep their names when they restart."""

    WORKER_TYPE = model_worker.RestartingModelWorker
    reached: collections.Counter[str] = collections.Counter()
