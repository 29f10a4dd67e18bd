"""Tests of which machines the faults of a soak affect, and when."""

import pytest

from soak import faults
from soak import history as history_module
from soak import proxy
from soak import time_spans
from tests import soak_histories as histories

_FIRST_MEMBER = {"edge-1"}
_FIRST_MEMBER_AND_SIDE = {"edge-1", "side-1"}


@pytest.mark.parametrize(
    ("fault", "name", "ended_s"),
    [
        (histories.LINK, "side-1", 5),
        (faults.DelayedCalls("side-1", "run-start"), "side-1", 5),
        (faults.DiskLoss("edge-1"), "edge-1", 5),
        (faults.RefusedCalls("side-1", 0.5, 503), "side-1", 5),
        (faults.BadWorker("side-1", failed_share=1.0), "side-1", 5),
        # The worker restarts at once, and so do connections.
        (faults.ConnectionReset(("edge-1", "side-1")), "side-1", 2),
        (faults.WorkerCrash("side-1"), "side-1", 2),
    ],
)
def test_a_fault_affects_its_machine_until_its_end(
    fault: faults.Fault, name: str, ended_s: int
) -> None:
    planned = faults.PlannedFault(2.0, 3.0, fault)
    injected_faults = history_module.injected_faults(
        {planned: histories.ns(2)}, {planned: histories.ns(5)}
    )
    spans = histories.history(
        histories.submitted_job(), injected_faults=injected_faults
    ).fault_spans(name)
    assert spans == [time_spans.Span(histories.ns(2), histories.ns(ended_s))]


def _control_link_fault(
    callers: str, targets: str, *, both_ways: bool
) -> faults.ControlLinkFault:
    return faults.ControlLinkFault(
        tuple(callers.split()),
        tuple(targets.split()),
        both_ways,
        proxy.ResetAll(),
    )


@pytest.mark.parametrize(
    ("fault", "names"),
    [
        (faults.PowerLoss(("edge-1", "side-1")), {"edge-1", "side-1"}),
        (faults.GroupTermination(("edge-1", "edge-2")), {"edge-1", "edge-2"}),
        (faults.SeedsChange(("edge-1",)), set()),
        (
            faults.ConnectionReset(("edge-1", "side-1")),
            _FIRST_MEMBER_AND_SIDE,
        ),
        (_control_link_fault("side-1", "edge-1", both_ways=False), {"side-1"}),
        # Has no disk, so no process needs it to reach the members.
        (_control_link_fault("side-1", "edge-4", both_ways=False), set()),
        (
            _control_link_fault("edge-1", "edge-2 edge-3", both_ways=False),
            {"edge-1"},
        ),
        (
            _control_link_fault(
                "edge-1 side-1", "edge-2 edge-3", both_ways=False
            ),
            _FIRST_MEMBER_AND_SIDE,
        ),
        (
            _control_link_fault(
                "edge-2 edge-3", "edge-1 side-1", both_ways=False
            ),
            _FIRST_MEMBER,
        ),
        (
            _control_link_fault(
                "edge-2 edge-3", "edge-1 side-1", both_ways=True
            ),
            _FIRST_MEMBER_AND_SIDE,
        ),
    ],
)
def test_a_fault_affects_all_that_it_separates_from_most_members(
    fault: faults.Fault, names: set[str]
) -> None:
    history = histories.history(
        histories.submitted_job(),
        injected_faults=[histories.injected_fault(fault, 2, 5)],
    )
    all_names = (*histories.MEMBERS, "edge-4", "side-1")
    names_found = {name for name in all_names if history.fault_spans(name)}
    assert names_found == names


@pytest.mark.parametrize(
    "fault",
    [
        faults.ProcessReload("edge-1"),
        faults.MisusedId("edge-1", 1),
        faults.LinkFault("edge-1", proxy.Blackhole()),
    ],
)
def test_faults_that_do_not_interrupt_a_member_do_not_affect_it(
    fault: faults.Fault,
) -> None:
    history = histories.history(
        histories.submitted_job(),
        injected_faults=[histories.injected_fault(fault, 2, 5)],
    )
    assert history.fault_spans("edge-1") == []
