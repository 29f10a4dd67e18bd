"""Sends an agent heartbeats of another writer under the id of its worker."""

import itertools
import json

from soak import foreign_heartbeats
from standins import pool_worker

# More than an agent needs to take contradicting heartbeats for its worker's own.
_COUNT_IN_A_ROW = 4
_UNKNOWN_SERVICE = "no-pool"
_OTHER_ADDRESS = "127.0.0.1:1"
# Lower than those of the worker, or far higher.
_FIRST_SEQUENCES = (1, 1 << 40)


class MisusedIdSender(foreign_heartbeats.HeartbeatSender):
    """Sends the worker's own heartbeats with one change, several times in a row.

    All of one sender are mistyped, or name another address, or an unknown service.
    """

    def __init__(
        self, address: str, *, worker: pool_worker.PoolWorker, seed: int
    ):
        super().__init__(address, seed=seed)
        self._worker = worker
        # The worker's own properties in some of them would let it outvote the others.
        self._kind = self.numbers.randrange(3)
        self._sequences = itertools.count(self.numbers.choice(_FIRST_SEQUENCES))

    def send_random(self) -> None:
        """Sends one drawn heartbeat several times, with rising sequence numbers."""
        change = self.draw_change()
        for _ in range(_COUNT_IN_A_ROW):
            heartbeat = self._worker.build_heartbeat(next(self._sequences))
            body = json.dumps(heartbeat | change).encode()
            self.post(self._worker.incarnation, body)

    def draw_change(self) -> dict[str, object]:
        """Draws how heartbeats differ from the worker's own."""
        match self._kind:
            case 0:
                state = self.numbers.choice(("ready", "draining"))
                return {"service": _UNKNOWN_SERVICE, "state": state}
            case 1:
                return {"address": _OTHER_ADDRESS}
            case _:
                fields = ("service", "zone", "state", "capacity", "sequence")
                value = self.numbers.choice(foreign_heartbeats.MISTYPED_VALUES)
                return {self.numbers.choice(fields): value}
