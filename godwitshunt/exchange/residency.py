"""The last check before a request leaves: residency and isolation.

Routing decides on the same rules. They are checked once more at every
dispatch, retry and resume, on the newest revision, since a revision may have
come after the request was admitted, and since a request that runs where it
must not cannot be taken back.
"""

from dataclasses import replace

from godwitshunt.configuration.revision import Revision
from godwitshunt.manifest import Caller, allowed_regions
from godwitshunt.routing.messages import (
    Decision,
    Forward,
    RefusalReason,
    Refuse,
    RouteRequest,
    Serve,
)

ISOLATED_RETRY_S = 5.0


def newest_route(
    route: RouteRequest,
    revision: Revision,
    caller: Caller,
) -> RouteRequest:
    """Return a route request under a newer revision's residency."""
    return replace(
        route,
        allowed=allowed_regions(revision.manifest, caller, route.model),
        home=caller.home,
        restricted=caller.residency is not None,
    )


def check_decision(
    decision: Decision,
    route: RouteRequest,
    own_region: str,
    *,
    isolated: bool,
) -> Decision:
    """Return the decision, or a refusal where it breaks a rule.

    Parameters
    ----------
    decision : Decision
        What routing decided.
    route : RouteRequest
        The request under the newest revision.
    own_region : str
        This VM's region.
    isolated : bool
        True where no proof of a control quorum came within the lease: rules
        may have changed without this VM's knowing. Then it serves requests
        in its own region only, of callers that are unrestricted or at home
        here.
    """
    match decision:
        case Serve(upstream):
            region = upstream.region
        case Forward() if isolated:
            return Refuse(RefusalReason.isolated, ISOLATED_RETRY_S)
        case Forward(region):
            return checked(decision, region, route)
        case _:
            return decision
    if isolated and route.restricted and route.home != own_region:
        return Refuse(RefusalReason.isolated, ISOLATED_RETRY_S)
    return checked(decision, region, route)


def checked(decision: Decision, region: str, route: RouteRequest) -> Decision:
    """Return the decision where residency allows its region."""
    if region in route.allowed:
        return decision
    return Refuse(RefusalReason.residency)
