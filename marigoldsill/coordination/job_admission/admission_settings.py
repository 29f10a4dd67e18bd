"""Settings of the admission of jobs."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AdmissionSettings:
    """What bounds the jobs that wait.

    Attributes:
        is_enabled: Whether any job may be rejected.
        waiting_jobs_limit: Maximum number of jobs that have not started.
        waiting_bytes_limit: Maximum memory of their records, in bytes.
    """

    is_enabled: bool = True
    waiting_jobs_limit: int = 50_000
    waiting_bytes_limit: int = 64 << 20
