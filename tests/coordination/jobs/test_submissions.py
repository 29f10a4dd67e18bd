"""A rejected job is in no log, whichever attempts and leaders interleave."""

from collections.abc import Iterator
import math
import threading

import pytest

from marigoldsill import errors
from marigoldsill.coordination.agreement import replica as replica_module
from marigoldsill.coordination.job_admission import (
    admission as admission_module,
)
from marigoldsill.coordination.job_admission import admission_settings
from marigoldsill.coordination.job_admission import causes
from marigoldsill.coordination.job_admission import load as load_module
from marigoldsill.coordination.job_admission import load_publisher
from marigoldsill.coordination.job_placing import urgency as urgency_module
from marigoldsill.coordination.jobs import scheduler as scheduler_module
from marigoldsill.coordination.jobs import scheduling_settings
from marigoldsill.coordination.jobs import service as service_module
from marigoldsill.protocol.generated import ttypes
from tests import one_process
from tests.coordination import groups
from tests.coordination.jobs import builders

_LEASE_MS = 7_000
_ACCEPTED = ttypes.JobOutcome.ACCEPTED
_REJECTED = ttypes.JobOutcome.REJECTED
_TIGHT = admission_settings.AdmissionSettings(waiting_jobs_limit=1)


def _service(replica: replica_module.Replica) -> service_module.JobService:
    """Returns a service where one job may wait."""
    return service_module.JobService(
        replica=replica,
        lease_ms=_LEASE_MS,
        admission=admission_module.Admission(
            _TIGHT, urgency=urgency_module.Urgency()
        ),
    )


def _submit(
    service: service_module.JobService, job_id: str
) -> ttypes.JobOutcome:
    address = ttypes.JobAddress(
        host="jobs.example", path=f"/{builders.QUEUE}/{job_id}"
    )
    return service.submit_job(address, builders.job(job_id)).outcome


def _job_ids(replica: replica_module.Replica) -> set[str]:
    with replica.lock:
        return set(replica.tables.jobs.jobs)


@pytest.fixture
def replica() -> replica_module.Replica:
    return replica_module.Replica(
        member=ttypes.Member(
            name="c1", address="", http_address="", data_centre="d"
        )
    )


@pytest.fixture
def service(
    replica: replica_module.Replica,
) -> service_module.JobService:
    new_service = _service(replica)
    new_service.replace_routing(builders.routing())
    return new_service


def test_a_rejected_job_is_unknown_and_an_accepted_one_is_not_judged_again(
    replica: replica_module.Replica, service: service_module.JobService
) -> None:
    assert _submit(service, "j1") == _ACCEPTED
    assert _submit(service, "j2") == _REJECTED
    assert _submit(service, "j1") == _ACCEPTED
    assert _job_ids(replica) == {"j1"}
    address = ttypes.JobAddress(
        host="jobs.example", path=f"/{builders.QUEUE}/j2"
    )
    assert service.job_state(address).outcome == ttypes.JobOutcome.NO_JOB
    assert service.cancel_job(address).outcome == ttypes.JobOutcome.NO_JOB


def test_a_job_that_was_cancelled_first_is_rejected_also_by_the_next_leader(
    group: groups.LocalGroup,
) -> None:
    """Guards against a job that runs after its cancelling was answered with no_job.

    The submission is on its way while the caller cancels it through another process.
    """
    group.form()
    old = group.leader()
    old_service = _service(old)
    old_service.replace_routing(builders.routing())
    address = ttypes.JobAddress(
        host="jobs.example", path=f"/{builders.QUEUE}/j1"
    )
    assert old_service.cancel_job(address).outcome == ttypes.JobOutcome.NO_JOB
    assert _submit(old_service, "j1") == _REJECTED
    group.stop(old.member.name)
    new_service = _service(group.leader())
    reply = new_service.submit_job(address, builders.job("j1"))
    assert reply.outcome == _REJECTED
    assert reply.retry_after_ms > 20_000
    assert "cancelled before" in reply.reason
    # It has taken no place from the one job that may wait.
    assert _submit(new_service, "j2") == _ACCEPTED


def test_a_rejection_has_a_reason_and_a_time_to_return(
    service: service_module.JobService,
) -> None:
    _submit(service, "j1")
    address = ttypes.JobAddress(
        host="jobs.example", path=f"/{builders.QUEUE}/j2"
    )
    reply = service.submit_job(address, builders.job("j2"))
    assert reply.retry_after_ms >= 1_000
    assert "the limit is 1" in reply.reason


def test_a_job_of_an_unknown_queue_takes_no_place(
    service: service_module.JobService,
) -> None:
    address = ttypes.JobAddress(host="jobs.example", path="/unknown/j1")
    reply = service.submit_job(address, builders.job("j1"))
    assert reply.outcome == ttypes.JobOutcome.NO_QUEUE
    assert _submit(service, "j2") == _ACCEPTED


def test_two_attempts_at_once_of_one_job_are_both_accepted(
    replica: replica_module.Replica,
    service: service_module.JobService,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a rejection of a job that is being proposed on another link."""
    proposing, may_go_on = threading.Event(), threading.Event()
    propose = replica.propose

    def propose_slowly(
        command: ttypes.Command, **options: object
    ) -> ttypes.CommandResult:
        if not proposing.is_set():
            proposing.set()
            assert may_go_on.wait(one_process.WAIT_LIMIT_S)
        return propose(command, **options)

    monkeypatch.setattr(replica, "propose", propose_slowly)
    outcomes: list[ttypes.JobOutcome] = []
    thread = threading.Thread(
        target=lambda: outcomes.append(_submit(service, "j1"))
    )
    thread.start()
    try:
        assert proposing.wait(one_process.WAIT_LIMIT_S)
        assert _submit(service, "j2") == _REJECTED
        assert _submit(service, "j1") == _ACCEPTED
    finally:
        may_go_on.set()
        thread.join()
    assert outcomes == [_ACCEPTED]
    assert _job_ids(replica) == {"j1"}


@pytest.mark.parametrize("is_logged", [True, False])
def test_a_retry_after_an_unknown_outcome_is_accepted(
    replica: replica_module.Replica,
    service: service_module.JobService,
    monkeypatch: pytest.MonkeyPatch,
    *,
    is_logged: bool,
) -> None:
    """Guards against a rejection of a job that an earlier attempt may have logged."""
    propose = replica.propose
    lost: list[ttypes.Command] = []

    def lose_first(
        command: ttypes.Command, **options: object
    ) -> ttypes.CommandResult:
        if lost:
            return propose(command, **options)
        lost.append(command)
        if is_logged:
            propose(command, **options)
        raise errors.UnknownOutcomeError("no majority answered")

    monkeypatch.setattr(replica, "propose", lose_first)
    with pytest.raises(errors.UnknownOutcomeError):
        _submit(service, "j1")
    assert _submit(service, "j2") == _REJECTED
    assert _submit(service, "j1") == _ACCEPTED
    assert _job_ids(replica) == {"j1"}


@pytest.mark.parametrize(
    "error",
    [
        errors.NoQuorumError("no majority"),
        errors.NotLeaderError("another leads"),
        errors.OverloadedError("too many commands"),
        errors.TooLargeError("the command is too large"),
    ],
    ids=lambda error: error.kind,
)
def test_a_proposal_that_did_nothing_frees_its_place(
    replica: replica_module.Replica,
    service: service_module.JobService,
    monkeypatch: pytest.MonkeyPatch,
    error: errors.MarigoldsillError,
) -> None:
    def fail(
        command: ttypes.Command, **options: object
    ) -> ttypes.CommandResult:
        raise error

    with monkeypatch.context() as patch:
        patch.setattr(replica, "propose", fail)
        with pytest.raises(
            (errors.MarigoldsillError, ttypes.NotLeader, ttypes.NoQuorum)
        ):
            _submit(service, "j1")
    assert _submit(service, "j2") == _ACCEPTED


def test_a_job_is_proposed_only_in_the_term_in_which_it_was_judged(
    replica: replica_module.Replica,
    service: service_module.JobService,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    terms: list[object] = []
    propose = replica.propose

    def record_term(
        command: ttypes.Command, **options: object
    ) -> ttypes.CommandResult:
        terms.append(options["term"])
        return propose(command, **options)

    monkeypatch.setattr(replica, "propose", record_term)
    _submit(service, "j1")
    assert terms == [replica.term]


def test_an_old_leaders_late_proposal_is_refused_in_a_later_term(
    group: groups.LocalGroup,
) -> None:
    """Guards against a job that runs after a later leader had rejected it.

    A process judged a job, was frozen, lost its term and led again; meanwhile another
    leader had rejected a second attempt at the job.
    """
    group.form()
    leader = group.leader()
    service = _service(leader)
    service.replace_routing(builders.routing())
    command = ttypes.Command(
        command_id="",
        submit_job=ttypes.SubmitJob(job=builders.job("j1")),
    )
    with pytest.raises(errors.NotLeaderError):
        leader.propose(command, timeout_s=2, term=leader.term - 1)
    assert _job_ids(leader) == set()
    leader.propose(command, timeout_s=2, term=leader.term)
    assert _job_ids(leader) == {"j1"}


def test_a_leader_that_lost_its_term_while_it_judged_rejects_nothing(
    group: groups.LocalGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    group.form()
    leader = group.leader()
    service = _service(leader)
    service.replace_routing(builders.routing())
    assert _submit(service, "j1") == _ACCEPTED
    judge = admission_module.Admission.judge

    def judge_slowly(self, *arguments, **options):
        rejection = judge(self, *arguments, **options)
        assert rejection is not None
        name = leader.member.name
        group.cut((name, "*"), ("*", name))
        one_process.wait_until(
            lambda: not leader.is_leader, what="the loss of the lease"
        )
        return rejection

    monkeypatch.setattr(admission_module.Admission, "judge", judge_slowly)
    with pytest.raises((ttypes.NotLeader, ttypes.NoQuorum)):
        _submit(service, "j2")


def test_a_rejection_is_not_told_in_a_later_term_than_its_judgement(
    replica: replica_module.Replica,
    service: service_module.JobService,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a rejection of a job that another leader has accepted.

    A process was frozen while it judged a job by its old tables, and led again before
    it answered; meanwhile another leader had accepted the job.
    """
    assert _submit(service, "j1") == _ACCEPTED
    judge = admission_module.Admission.judge
    term = replica.term

    def judge_while_terms_pass(self, *arguments, **options):
        rejection = judge(self, *arguments, **options)
        assert rejection is not None
        monkeypatch.setattr(
            replica_module.Replica, "term", property(lambda _: term + 2)
        )
        return rejection

    monkeypatch.setattr(
        admission_module.Admission, "judge", judge_while_terms_pass
    )
    with pytest.raises((ttypes.NotLeader, ttypes.NoQuorum)):
        _submit(service, "j2")


def test_a_term_that_begins_before_the_judgement_rejects_nothing(
    replica: replica_module.Replica,
    service: service_module.JobService,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a judgement by tables that lack what earlier terms accepted.

    A process was frozen before it judged and went on as a candidate that had not yet
    applied its log; it was the leader of that term once it answered.
    """
    assert _submit(service, "j1") == _ACCEPTED
    find_queue = service_module.JobService._find_queue
    term = replica.term

    def begin_term_first(self, address):
        monkeypatch.setattr(
            replica_module.Replica, "term", property(lambda _: term + 1)
        )
        return find_queue(self, address)

    def reject(self, *arguments, **options):
        return admission_module.Rejection(
            reason=causes.Reason.JOBS_LIMIT,
            message="full",
            retry_after_ms=1_000,
        )

    monkeypatch.setattr(
        service_module.JobService, "_find_queue", begin_term_first
    )
    monkeypatch.setattr(admission_module.Admission, "judge", reject)
    with pytest.raises((ttypes.NotLeader, ttypes.NoQuorum)):
        _submit(service, "j2")


def test_a_new_leader_accepts_what_its_log_has_and_knows_no_load(
    group: groups.LocalGroup,
) -> None:
    group.form()
    old = group.leader()
    old_service = _service(old)
    old_service.replace_routing(builders.routing())
    assert _submit(old_service, "j1") == _ACCEPTED
    assert _submit(old_service, "j2") == _REJECTED
    group.stop(old.member.name)
    new_service = _service(group.leader())
    # The retry of a call whose answer was lost with the old leader.
    assert _submit(new_service, "j1") == _ACCEPTED
    # The caller that returns is a new arrival, and nothing is known to wait.
    assert _submit(new_service, "j2") == _ACCEPTED
    assert _submit(new_service, "j3") == _REJECTED


@pytest.fixture
def scheduler(
    replica: replica_module.Replica,
) -> Iterator[scheduler_module.JobScheduler]:
    """A scheduler of a leader without workers, where one job may wait."""
    new_scheduler = scheduler_module.JobScheduler(
        replica=replica,
        job_retention_s=60.0,
        settings=scheduling_settings.SchedulingSettings(admission=_TIGHT),
    )
    yield new_scheduler
    new_scheduler.stop()


def test_jobs_of_earlier_terms_count_once_the_scheduler_has_seen_them(
    replica: replica_module.Replica,
    scheduler: scheduler_module.JobScheduler,
) -> None:
    _submit_directly(replica, "old")
    service = _start(replica, scheduler)
    one_process.wait_until(
        lambda: scheduler.admission.waiting_count == 1, what="a waiting job"
    )
    assert _submit(service, "j1") == _REJECTED


def test_a_place_is_free_again_once_a_waiting_job_is_cancelled(
    replica: replica_module.Replica,
    scheduler: scheduler_module.JobScheduler,
) -> None:
    service = _start(replica, scheduler)
    assert _submit(service, "j1") == _ACCEPTED
    assert _submit(service, "j2") == _REJECTED
    service.cancel_job(
        ttypes.JobAddress(host="jobs.example", path=f"/{builders.QUEUE}/j1")
    )
    one_process.wait_until(
        lambda: _submit(service, "j2") == _ACCEPTED, what="j2 accepted"
    )


def test_the_scheduler_publishes_the_load_and_the_loss_of_all_workers(
    replica: replica_module.Replica,
    scheduler: scheduler_module.JobScheduler,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    summaries: list[load_module.LoadSummary] = []
    monkeypatch.setattr(scheduler.admission, "publish", summaries.append)
    # An earlier leader has learnt the queue's run times, so that its work counts.
    learnt = ttypes.RecordLearnt(
        run_times=[
            ttypes.RunTimesLine(queue=builders.QUEUE, samples_count=10.0)
        ]
    )
    replica.propose(
        ttypes.Command(command_id="", record_learnt=learnt), timeout_s=1
    )
    service = _start(replica, scheduler)
    _report_worker(service, sequence=1)
    _submit(service, "j1")

    def pool() -> load_module.PoolLoad | None:
        return summaries[-1].pools[builders.POOL] if summaries else None

    one_process.wait_until(
        lambda: (
            pool()
            and pool().capacity_millicores == 500
            and pool().no_worker_since_s == math.inf
            and [w.last_key[1] for w in pool().work] == [("j1", 0, 0)]
        ),
        what="the waiting job beside the worker in a summary",
    )
    assert summaries[-1].term == replica.term
    service.set_evacuation(
        ttypes.SetEvacuation(data_centre="dc1", active=True), "order 1"
    )
    one_process.wait_until(
        lambda: pool().no_worker_since_s < math.inf,
        what="the evacuation of all workers in a summary",
    )


def test_grants_do_not_wait_for_a_summary(
    replica: replica_module.Replica,
    scheduler: scheduler_module.JobScheduler,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against starts held up by a summary of a long backlog, or by its failure."""

    def fail(self, *arguments: object, **options: object) -> None:
        raise RuntimeError("no summary")

    monkeypatch.setattr(
        load_publisher.LoadPublisher, "is_due", lambda self, **_: True
    )
    monkeypatch.setattr(load_publisher.LoadPublisher, "summarize", fail)
    service = _start(replica, scheduler)
    _report_worker(service, sequence=1, cpu_millicores=1_000)
    _submit(service, "j1")
    one_process.wait_until(
        lambda: (
            replica.tables.jobs.jobs["j1"].state != ttypes.JobState.QUEUED
            or replica.tables.jobs.runs_by_agent.get("a1")
        ),
        what="a run of the job",
    )


def test_the_scheduler_begins_the_term_of_the_admission(
    replica: replica_module.Replica,
    scheduler: scheduler_module.JobScheduler,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    terms: list[int] = []
    monkeypatch.setattr(scheduler.admission, "begin_term", terms.append)
    _start(replica, scheduler)
    one_process.wait_until(lambda: terms, what="the begin of a term")
    assert terms == [replica.term]


def _report_worker(
    service: service_module.JobService,
    *,
    sequence: int,
    cpu_millicores: int = 500,
) -> None:
    """Reports a worker; by default one too small for the jobs of these tests."""
    capacity = ttypes.Resources(
        cpu_millicores=cpu_millicores, memory_bytes=1 << 30
    )
    worker = builders.pool_worker("a1", data_centre="dc1", capacity=capacity)
    service.agent_report(builders.agent_report("a1", worker, sequence=sequence))


def _start(
    replica: replica_module.Replica, scheduler: scheduler_module.JobScheduler
) -> service_module.JobService:
    service = service_module.JobService(
        replica=replica,
        lease_ms=_LEASE_MS,
        on_change=scheduler.wake,
        admission=scheduler.admission,
    )
    service.replace_routing(builders.routing())
    scheduler.start(service)
    return service


def _submit_directly(replica: replica_module.Replica, job_id: str) -> None:
    """Applies the submission of a job as an earlier leader would have."""
    for body in (
        {"replace_routing": ttypes.ReplaceRouting(routing=builders.routing())},
        {"submit_job": ttypes.SubmitJob(job=builders.job(job_id))},
    ):
        replica.propose(ttypes.Command(command_id="", **body), timeout_s=1)
