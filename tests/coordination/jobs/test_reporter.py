"""Tests of the content of an agent's reports, and how often they have samples."""

from collections.abc import Callable

import pytest

from marigoldsill.coordination.job_agent import agent_state
from marigoldsill.coordination.job_agent import reporter as reporter_module
from marigoldsill.protocol import run_worker
from marigoldsill.protocol.generated import ttypes
from marigoldsill.transport import clock
from tests.coordination.jobs import builders
from tests.coordination.jobs import stepped_agent


class _Link:
    """Receives reports in place of the leader."""

    def __init__(self):
        self.reports: list[ttypes.AgentReport] = []
        self.on_report: Callable[[], None] = lambda: None
        self.reply = ttypes.AgentReply(
            term=stepped_agent.TERM, ends_recorded=True
        )

    def call(
        self, _name: str, report: ttypes.AgentReport, *, timeout_s: float
    ) -> ttypes.AgentReply:
        assert timeout_s > 0
        self.reports.append(report)
        self.on_report()
        return self.reply


class _Case:
    """A reporter with a fake clock, whose worker lists one run."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch):
        self.now_s = 1_000.0
        monkeypatch.setattr(clock, "now_s", lambda: self.now_s)
        self.link = _Link()
        self.state = agent_state.AgentState()
        self.state.record_announcement(
            stepped_agent.announcement("a1-incarnation1")
        )
        self.state.confirm_incarnation("a1-incarnation1")
        self.reporter = reporter_module.Reporter(
            agent="a1", state=self.state, link=self.link
        )
        self.record_listing()

    def record_listing(self, *ends: ttypes.RunEnd) -> None:
        """Records a listing of one run and the given ends."""
        sample = ttypes.RunSample(task="j1.0.0.0", run=1, percent=50, load=900)
        self.state.record_listing(
            run_worker.RunListing(
                clock_ms=0,
                running=[sample],
                ended=[
                    run_worker.EndedRun(number, end)
                    for number, end in enumerate(ends, 1)
                ],
            )
        )

    def report(self, *, after_s: float) -> ttypes.AgentReport:
        self.now_s += after_s
        self.reporter._report()
        return self.link.reports[-1]


@pytest.fixture
def case(monkeypatch: pytest.MonkeyPatch) -> _Case:
    return _Case(monkeypatch)


def test_first_report_has_samples_and_the_worker(case: _Case) -> None:
    report = case.report(after_s=0.0)
    assert [sample.task for sample in report.running] == ["j1.0.0.0"]
    assert report.worker.worker_id == "a1-incarnation1"


def test_begin_of_a_run_is_reported_at_once_if_its_order_asks_for_that(
    case: _Case,
) -> None:
    """Guards against crashes that nobody knows if the agent ends as well."""
    case.report(after_s=0.0)
    orders = [
        ttypes.RunOrder(
            task=f"j1.0.0.{number}",
            run=1,
            desire=ttypes.RunDesire.RUN,
            worker_id="a1-incarnation1",
            must_report_start=number == 1,
        )
        for number in (1, 2)
    ]
    case.state.update_orders(
        ttypes.OrdersReply(
            term=stepped_agent.TERM, version=1, orders=orders, removed=[]
        )
    )
    assert not case.reporter._must_report_now()
    for order in orders:
        case.state.held.record_start_due(order)
        case.state.held.record_start_answered(
            (order.task, order.run), is_current=True, now_s=case.now_s
        )
    assert case.reporter._must_report_now()
    report = case.report(after_s=0.1)
    assert [run.task for run in report.begun] == ["j1.0.0.1"]
    assert not case.reporter._must_report_now()
    case.link.reply.term += 1
    case.report(after_s=1.0)
    assert case.reporter._must_report_now()


def test_end_is_reported_at_once_without_samples(case: _Case) -> None:
    """Guards against frequent ends that make the leader read the same samples again.

    Samples of all runs with each reported end would be most of what it reads.
    """
    case.report(after_s=0.0)
    case.record_listing(builders.run_end("j1.0.0.1", ttypes.RunEndKind.DONE))
    report = case.report(after_s=0.1)
    assert [end.task for end in report.ends] == ["j1.0.0.1"]
    assert report.running is None


def test_samples_are_reported_at_intervals_despite_frequent_reports(
    case: _Case,
) -> None:
    case.report(after_s=0.0)
    reported = [case.report(after_s=0.3).running for _ in range(20)]
    assert sum(running is not None for running in reported) == 5


def test_worker_and_samples_are_sent_again_on_request(case: _Case) -> None:
    case.link.reply.resend_worker = True
    case.report(after_s=0.0)
    report = case.report(after_s=0.1)
    assert report.worker is not None
    assert report.running is not None


def test_ends_are_reported_again_with_the_term_of_the_reply(
    case: _Case,
) -> None:
    case.link.reply.ends_recorded = False
    case.record_listing(builders.run_end("j1.0.0.1", ttypes.RunEndKind.DONE))
    case.report(after_s=0.0)
    assert case.reporter._must_report_now()
    report = case.report(after_s=0.0)
    assert [end.task for end in report.ends] == ["j1.0.0.1"]
    assert report.known_term == stepped_agent.TERM


def test_end_listed_while_another_is_reported_is_reported_before_acknowledged(
    case: _Case,
) -> None:
    """Guards against a done task whose end is acknowledged but never recorded."""
    key = ("j1.0.0.0", 1)
    state = case.state
    state.run_orders.by_run[key] = ttypes.RunOrder(task=key[0], run=key[1])
    state.record_end(builders.run_end(key[0], ttypes.RunEndKind.REFUSED))
    listed = (
        builders.run_end(key[0], ttypes.RunEndKind.DONE),
        builders.run_end("j1.0.0.1", ttypes.RunEndKind.DONE),
    )
    case.link.on_report = lambda: case.record_listing(*listed)
    case.report(after_s=0.0)
    case.link.on_report = lambda: None
    case.report(after_s=0.0)
    reported = [end for report in case.link.reports for end in report.ends]
    assert state.acknowledged_end_number == 2
    assert all(end in reported for end in listed)


def test_lease_counts_from_the_time_the_report_was_sent(case: _Case) -> None:
    """Guards against a lease that its leader counts as over while the agent uses it."""

    def answer_late() -> None:
        case.now_s += 0.9

    case.link.on_report = answer_late
    case.link.reply.lease_ms = 7_000
    sent_s = case.now_s
    case.report(after_s=0.0)
    assert case.state.lease.end_s == sent_s + 7.0


def test_agent_whose_worker_does_not_answer_says_so(case: _Case) -> None:
    """Guards against deadlines converted at an old reading of the worker's clock."""
    silent = [case.report(after_s=0.7).worker_silent for _ in range(4)]
    assert silent == [False, False, True, True]


def test_report_says_for_how_long_a_restarted_worker_refuses_starts(
    case: _Case,
) -> None:
    """Guards against starts that the leader sends in vain and then delays."""
    _confirm(case, "w1@100")
    assert case.report(after_s=0.0).starts_refused_ms == 0
    case.state.late_calls.record_unanswered_acknowledgement(now_s=case.now_s)
    assert case.report(after_s=1.0).starts_refused_ms == 0
    case.now_s += 0.5
    _confirm(case, "w1@200")
    refused_ms = [
        case.report(after_s=after_s).starts_refused_ms
        for after_s in (0.0, 4.0, 6.5)
    ]
    assert refused_ms == [10_500, 6_500, 0]


def _confirm(case: _Case, incarnation: str) -> None:
    case.state.record_announcement(stepped_agent.announcement(incarnation))
    case.state.confirm_incarnation(incarnation)
