"""Cancellations of jobs that are not known, whose submissions may still arrive.

A caller that got no answer to its submission may cancel the job through another
process. While the submission may still be on its way, the job is not accepted.
"""

from collections.abc import Iterable

from marigoldsill.protocol.generated import ttypes

# How long a submission may be on its way. An entry sends one for at most 4 s, and the
# last bytes before a cut of its connection arrive after at most twice the length of the
# cut, as TCP doubles its pauses: this allows for cuts of 13 s.
KEPT_MS = 30_000
# Maximum number of cancellations, of which the oldest are dropped: more than 30 a second
# of jobs that are not known.
COUNT_LIMIT = 1_000
# Maximum length of a job's id, in characters; none is stored of a longer one.
_ID_LENGTH_LIMIT = 128


class EarlyCancellations:
    """The cancellations, by the time in the commands of the log.

    The time may go back or jump where another leader's clock differs. A cancellation
    from a far future counts as expired, so that none is kept for over twice the time.
    """

    def __init__(self):
        # When each job was cancelled, the oldest first.
        self._times_ms: dict[str, int] = {}

    def record(self, job_id: str, *, now_unix_ms: int) -> None:
        """Records the cancellation of a job that is not known."""
        if len(job_id) > _ID_LENGTH_LIMIT:
            return
        self._times_ms = {
            known_id: time_ms
            for known_id, time_ms in self._times_ms.items()
            if known_id != job_id and _remaining_ms(time_ms, now_unix_ms)
        }
        self._times_ms[job_id] = now_unix_ms
        if len(self._times_ms) > COUNT_LIMIT:
            del self._times_ms[next(iter(self._times_ms))]

    def remaining_ms(self, job_id: str, *, now_unix_ms: int) -> int:
        """Returns for how long a job is not accepted; 0 if it may be."""
        time_ms = self._times_ms.get(job_id)
        return 0 if time_ms is None else _remaining_ms(time_ms, now_unix_ms)

    def to_records(self) -> list[ttypes.EarlyCancellation]:
        """Returns the cancellations for a snapshot."""
        return [
            ttypes.EarlyCancellation(job_id=job_id, cancelled_unix_ms=time_ms)
            for job_id, time_ms in self._times_ms.items()
        ]

    def restore(self, records: Iterable[ttypes.EarlyCancellation]) -> None:
        """Replaces the cancellations by those of a snapshot."""
        self._times_ms = {r.job_id: r.cancelled_unix_ms for r in records}


def _remaining_ms(time_ms: int, now_unix_ms: int) -> int:
    age_ms = now_unix_ms - time_ms
    return KEPT_MS - age_ms if abs(age_ms) < KEPT_MS else 0
