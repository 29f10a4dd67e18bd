"""Faults of a stand-in for a worker of the users' platform."""

import dataclasses
import random


@dataclasses.dataclass(slots=True)
class PoolFaults:
    """The current faults.

    Attributes:
        delayed_calls: Calls, such as "run-start", that get no answer and are
            carried out later.
        call_delay_s: The delay of these calls.
        refused_share: The share of calls that are refused as by an unhealthy worker,
            which has then done nothing.
        refused_status: The status of these refusals.
        refuses_orders: Every order but "hold" is refused with status 503.
        refused_starts_share: The share of starts that are refused with status 503.
        fails_starts: Every run fails as soon as it is started.
        failed_share: The share of runs that fail as soon as they are started.
        is_stalled: Runs make no progress.
        is_unresponsive: No call is answered and no heartbeat is sent.
        skips_heartbeats: No heartbeat is sent, as between two rare ones.
    """

    delayed_calls: set[str] = dataclasses.field(default_factory=set)
    call_delay_s: float = 0.3
    refused_share: float = 0.0
    refused_status: int = 503
    refuses_orders: bool = False
    refused_starts_share: float = 0.0
    fails_starts: bool = False
    failed_share: float = 0.0
    is_stalled: bool = False
    is_unresponsive: bool = False
    skips_heartbeats: bool = False

    def refuses_next_start(self) -> bool:
        """Draws whether the next start is refused."""
        return random.random() < self.refused_starts_share

    def fails_next_start(self) -> bool:
        """Draws whether the next run fails as soon as it is started."""
        return self.fails_starts or random.random() < self.failed_share
