"""Replaces control in a process that is not, or not yet, a member of the group."""

from collections.abc import Callable
from typing import NoReturn

from marigoldsill.protocol.generated import ttypes


class ReferralService:
    """Handles the thrift service `Control` by referring each call to a member."""

    def __init__(self, *, referral_address: Callable[[], str]):
        """Creates the service.

        Args:
            referral_address: Returns the address to refer to now, or an empty
                string if none is known.
        """
        self._referral_address = referral_address

    def _refer(self, *_requests: object) -> NoReturn:
        raise ttypes.NotLeader(leader_address=self._referral_address())

    heartbeat = watch = claim = end_claim = _refer
    submit_job = job_state = cancel_job = pending_jobs = _refer
    replace_routing = routing = set_evacuation = _refer
    agent_report = agent_orders = _refer
