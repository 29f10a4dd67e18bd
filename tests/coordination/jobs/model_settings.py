"""How many examples of the cluster model run, with which seed."""

import os

import hypothesis

# More examples with fresh seeds, by hand: MODEL_EXAMPLES=2000 MODEL_SEED=any
# pytest -s --timeout=0 tests/coordination/jobs/test_cluster_model.py
_EXAMPLES_COUNT = int(os.environ.get("MODEL_EXAMPLES", "30"))
# Whether to search for the shortest sequence after a failure.
_SHRINKS = os.environ.get("MODEL_SHRINKS") != "no"
_HAS_FIXED_SEED = not os.environ.get("MODEL_SEED")
SETTINGS = hypothesis.settings(
    max_examples=_EXAMPLES_COUNT,
    stateful_step_count=40,
    derandomize=_HAS_FIXED_SEED,
    deadline=None,
    phases=[
        phase
        for phase in hypothesis.Phase
        if _SHRINKS or phase is hypothesis.Phase.generate
    ],
    suppress_health_check=list(hypothesis.HealthCheck),
)
