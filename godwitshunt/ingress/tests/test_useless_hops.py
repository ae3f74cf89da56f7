"""Hand-overs to VMs that reach no upstream."""

from godwitshunt.ingress.outcomes import (
    MAX_SENDS,
    MAX_USELESS_HOPS,
    NotRun,
    Progress,
    Retry,
)

USELESS = NotRun('vm: no attempt was made', has_no_paths=True)


def test_hops_to_vms_without_paths_leave_attempts():
    """VMs of a region lose their paths together, before they know of it.

    Four such hops ended a request that another region would have served.
    """
    progress = Progress(repeatable=False, attempts=1)
    for _ in range(MAX_USELESS_HOPS + MAX_SENDS - 1):
        assert isinstance(progress.next_step(USELESS, 1.0), Retry)
    assert not isinstance(progress.next_step(USELESS, 1.0), Retry)
