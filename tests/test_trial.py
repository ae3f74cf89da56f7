"""A short trial over real processes, from a fixed seed."""

from demo.layout import REGIONS
from trials.deployment import Deployment
from trials.trial import Trial, draw_requests, make_table

REQUESTS = 300
SEED = 7


async def test_promises_hold_while_faults_strike(tmp_path):
    """VMs are killed and frozen, regions cut off, upstreams leave.

    Whatever comes of a request, its caller gets the whole answer, a true
    refusal or nothing twice; the configuration goes on and never reverts.
    """
    requests = draw_requests(REQUESTS, SEED)
    trial = Trial(Deployment.from_config(tmp_path), requests, SEED)
    promises = await trial.run()
    assert not any(one.violations for one in promises), make_table(promises)
    assert {request.region for request in requests} == set(REGIONS)
    assert all(one.checks for one in promises[:3])
