"""How far an agent's executor is with an order."""

import dataclasses


@dataclasses.dataclass(slots=True)
class OrderProgress:
    """The progress of an order.

    Attributes:
        is_busy: Whether a call for the order is in progress.
        is_started: Whether the worker confirmed the start.
        has_unanswered_start: Whether a start request may still arrive at the worker.
        start_listings_count: The count of complete listings beyond which a listing was
            certainly made after the start.
        is_forgotten: Whether a later listing had neither the run nor its end.
        stop_listings_count: The count of complete listings beyond which a listing was
            certainly made after the stop; 0 until the stop is confirmed.
        refusal_reason: Why the run was refused, or empty.
        quota_percent: The quota that the worker confirmed.
        retry_s: Time before which no call is made.
    """

    is_busy: bool = False
    is_started: bool = False
    has_unanswered_start: bool = False
    start_listings_count: int = 0
    is_forgotten: bool = False
    stop_listings_count: int = 0
    refusal_reason: str = ""
    quota_percent: int = 100
    retry_s: float = 0.0
