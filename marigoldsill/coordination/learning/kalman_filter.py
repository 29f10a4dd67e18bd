"""A Kalman filter with a diagonal covariance, for sums of unknown terms."""

from collections.abc import Sequence
import dataclasses

_LEAST_MEAN = 0.0


@dataclasses.dataclass(slots=True)
class Term:
    """The estimate of one term of a sum.

    Attributes:
        mean: The expected value, never negative.
        variance: The uncertainty of the mean.
        samples_count: The number of samples that included the term.
        sampled_s: When the last of them was measured; 0 if that is not recorded.
    """

    mean: float
    variance: float
    samples_count: int = 0
    sampled_s: float = 0.0


def correct(
    terms: Sequence[tuple[Term, float]], sample: float, *, noise_variance: float
) -> None:
    """Corrects terms by a sample of their weighted sum.

    Each is corrected in proportion to its variance, so that few samples leave
    a term near its prior, and the error of an uncertain term is not attributed to a
    well-known one.

    Args:
        terms: The terms, each with its weight in the sum.
        sample: The measured sum.
        noise_variance: The variance of the measurement noise.
    """
    error = sample - sum(term.mean * weight for term, weight in terms)
    variance = noise_variance + sum(
        term.variance * weight**2 for term, weight in terms
    )
    for term, weight in terms:
        gain = term.variance * weight / variance
        term.mean = max(term.mean + gain * error, _LEAST_MEAN)
        term.variance *= 1 - gain * weight
        term.samples_count += 1
