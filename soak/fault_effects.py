"""Which machines and processes a fault of a soak affects."""

from collections.abc import Sequence

from soak import faults


def affected_names(
    fault: faults.Fault, members: Sequence[str]
) -> Sequence[str]:
    """Returns the machines and processes whose work a fault may interrupt."""
    match fault:
        case (
            faults.ProcessReload()
            | faults.SeedsChange()
            | faults.ForeignHeartbeats()
            | faults.MisusedId()
        ):
            return ()
        case faults.CapacityReduction():
            return ()
        case faults.LinkFault(name=name):
            return (name,)
        case (
            faults.WorkerCrash(worker=name)
            | faults.DelayedCalls(worker=name)
            | faults.RefusedCalls(worker=name)
            | faults.BadWorker(worker=name)
        ):
            return (name,)
        case faults.ConnectionReset(names=names):
            return names
        case (
            faults.ProcessKill()
            | faults.ProcessTermination()
            | faults.ProcessPause()
        ):
            return (fault.process,)
        case faults.DiskLoss(process=name):
            return (name,)
        case faults.PowerLoss() | faults.GroupTermination():
            return fault.processes
        case faults.ControlLinkFault():
            return _disconnected_names(fault, members)


def _disconnected_names(
    fault: faults.ControlLinkFault, members: Sequence[str]
) -> Sequence[str]:
    """Returns the processes whose calls to members are disturbed.

    Of the members themselves, only those on the smaller side of the fault count.
    """
    directions = [(fault.callers, fault.targets)]
    if fault.both_ways:
        directions.append((fault.targets, fault.callers))
    non_members = [
        name
        for callers, targets in directions
        if set(targets) & set(members)
        for name in callers
        if name not in members
    ]
    sides = [
        [name for name in side if name in members]
        for side in (fault.callers, fault.targets)
    ]
    return (*non_members, *min(sides, key=len))
