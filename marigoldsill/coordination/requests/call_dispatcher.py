"""Dispatches callers' requests: the concurrency limit, then the kind of call."""

import threading

from marigoldsill import errors
from marigoldsill.coordination.request_limits import concurrency_limits
from marigoldsill.coordination.request_limits import retry_budget
from marigoldsill.coordination.requests import agent_connection_pool
from marigoldsill.coordination.requests import attempts as attempts_module
from marigoldsill.coordination.requests import (
    claim_resolver as claim_resolver_module,
)
from marigoldsill.coordination.requests import claimed_call_runner
from marigoldsill.coordination.requests import claims_client
from marigoldsill.coordination.requests import idempotent_call_runner
from marigoldsill.coordination.requests import retries as retries_module
from marigoldsill.coordination.requests import routing
from marigoldsill.transport import network_partitions


class CallDispatcher:
    """Sends calls to agents and returns their complete answers."""

    def __init__(
        self,
        *,
        entry: str,
        router: routing.Router,
        control_addresses: tuple[str, ...],
        threads_count: int,
        claim_retention_s: float,
        partitions: network_partitions.NetworkPartitions | None = None,
    ):
        self._router = router
        self._connections = agent_connection_pool.AgentConnectionPool(
            partitions=partitions
        )
        attempt_runner = attempts_module.AttemptRunner(
            router=router, connections=self._connections
        )
        self._claims = claims_client.ClaimsClient(
            entry=entry,
            control_addresses=control_addresses,
            retention_s=claim_retention_s,
            partitions=partitions,
        )
        self._idempotent_runner = idempotent_call_runner.IdempotentCallRunner(
            router=router, attempt_runner=attempt_runner
        )
        self._claimed_runner = claimed_call_runner.ClaimedCallRunner(
            router=router,
            attempt_runner=attempt_runner,
            claims=self._claims,
            resolver=claim_resolver_module.ClaimResolver(
                claims=self._claims, connections=self._connections
            ),
        )
        self._limits = concurrency_limits.ConcurrencyLimits(
            threads_count=threads_count
        )
        self._lock = threading.Lock()
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = {}

    def dispatch(self, call: attempts_module.Call) -> attempts_module.Answer:
        """Runs a call within its service's concurrency limit.

        Raises:
            NotRunError: The request was not run and never will be.
            UnknownOutcomeError: The request may have run.
            ConflictError: Its idempotency key was used before; the subclass
                says how.
        """
        limit = self._limits.limit_of(call.service)
        max_in_flight = self._limits.max_in_flight(
            self._router.slots_count(call.service)
        )
        with limit.admit(
            max_in_flight=max_in_flight, deadline=call.deadline, key=call.key
        ):
            try:
                answer = self._run_by_kind(call)
            except errors.OverloadedError as error:
                limit.record_overload(
                    retry_after_ms=error.retry_after_ms, key=call.key
                )
                raise
        limit.record_answer()
        return answer

    def retain_agents(self, addresses: set[str]) -> None:
        """Closes idle connections to all agents except the given ones."""
        self._connections.retain_agents(addresses)

    def stop(self) -> None:
        """Records pending ends of claims and closes idle connections."""
        self._claims.stop()
        self._connections.stop()

    def _run_by_kind(
        self, call: attempts_module.Call
    ) -> attempts_module.Answer:
        budget = self._retry_budget(call.service)
        budget.record_request()
        retries = retries_module.Retries(call, budget)
        if call.idempotent:
            return self._idempotent_runner.run(call, retries)
        return self._claimed_runner.run(call, retries)

    def _retry_budget(self, service: str) -> retry_budget.RetryBudget:
        with self._lock:
            return self._retry_budgets.setdefault(
                service, retry_budget.RetryBudget()
            )
