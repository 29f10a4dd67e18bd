"""Bounds of the invariants of a soak."""

from marigoldsill.coordination.leadership import leases

# `_LEASE_MS` of roles/control_node.py: the runs of a lost agent start again after it.
_LEASE_S = 7.0
# The leader also waits for the drift between clocks.
LEASE_EXPIRY_S = _LEASE_S * leases.DRIFT_RATIO + leases.MARGIN_S
# Two rounds of votes, each of up to twice `_ELECTION_TIMEOUT_MS`, which is 0.7 s.
ELECTION_LIMIT_S = 2.8
# A process needs about a second to start on a shared machine; it then finds the
# leader, and a call to a worker may have waited for 1 s.
PROCESS_START_S = 3.0
RESTART_LIMIT_S = LEASE_EXPIRY_S + ELECTION_LIMIT_S + PROCESS_START_S
# An agent that does not receive the cancellation stops its runs when its lease ends;
# a stop takes a worker up to `stop_timeout_ms` of the platform, which is 0.9 s.
CANCELLATION_LIMIT_S = LEASE_EXPIRY_S + 0.9
# `contact_ms` of the platform: a fault may have effects for this long after its end,
# as RULES of the platform says on gangs. An election takes no longer.
FAULT_EFFECT_S = 3.0
# `finish_s` of the platform: once faults have been over for this long, nothing of a job
# may be missing for `IDLE_LIMIT_S` while there is capacity for it.
FINISH_S = 14.0
IDLE_LIMIT_S = 3.0
# An agent may refuse some heartbeats of its own worker, which come every 0.1 s, until
# they are repeated, but not for longer.
HEARTBEAT_REFUSAL_LIMIT_S = 1.0
# Unix times of jobs are in whole milliseconds.
EARLY_TOLERANCE_S = 0.002
# A job may fail once this many workers have crashed under a task of it.
MIN_CRASHES_TO_FAIL = 2
# A job fails once a task of it has failed as often as the route of the soak allows.
MAX_ATTEMPTS = 3
# A reduced capacity is binding after `contact_ms` of the platform and one heartbeat
# of the soak's workers.
CAPACITY_CHANGE_DELAY_S = 3.1
# An agent without the news of an evacuation starts runs until its lease ends; a call that
# a worker does not answer is carried out 0.3 s later.
EVACUATION_LIMIT_S = LEASE_EXPIRY_S + 0.5
# CPU that each task of the soak reserves.
TASK_MILLICORES = 500
# Workers of the soak hold 16 of its tasks; the capacity for one of them may be
# reserved for a run whose order no worker has received yet.
TASKS_PER_WORKER = 15
