"""Finds the queue and the job that a host and a path address."""

from marigoldsill.protocol.generated import ttypes


class QueueIndex:
    """Index of the queues of the routing in force, by host."""

    def __init__(self):
        self._routing: ttypes.Routing | None = None
        self._by_host: dict[str, list[ttypes.Queue]] = {}

    def find(
        self, routing: ttypes.Routing, address: ttypes.JobAddress
    ) -> ttypes.Queue | None:
        """Returns the queue with the longest path prefix that matches, or None."""
        if routing is not self._routing:
            self._by_host = _group_by_host(routing)
            self._routing = routing
        queues = self._by_host.get(address.host.lower(), ())
        matching = (q for q in queues if address.path.startswith(q.path_prefix))
        return next(matching, None)


def job_id_of(address: ttypes.JobAddress) -> str:
    """Returns the job id, which is the last segment of the path."""
    return address.path.rpartition("/")[2]


def _group_by_host(routing: ttypes.Routing) -> dict[str, list[ttypes.Queue]]:
    """Groups queues by lower-case host, those with the longest prefix first."""
    queues = sorted(
        routing.queues, key=lambda q: len(q.path_prefix), reverse=True
    )
    hosts = {queue.host.lower() for queue in queues}
    return {
        host: [q for q in queues if q.host.lower() == host] for host in hosts
    }
