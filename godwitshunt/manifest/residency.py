"""Regions that may serve a caller's request."""

from dataclasses import dataclass

from godwitshunt.manifest.models import Caller, Manifest


@dataclass(frozen=True)
class ResidencyRefusal:
    """No region is allowed to serve this request."""

    caller: str
    model: str | None


def allowed_regions(
    manifest: Manifest,
    caller: Caller,
    model: str | None = None,
) -> frozenset[str]:
    """Return the regions that may serve a caller's request.

    Parameters
    ----------
    manifest : Manifest
        The active manifest.
    caller : Caller
        The caller that sent the request.
    model : str or None
        The requested model; None for plain services.

    Returns
    -------
    frozenset of str
        Empty if no region is allowed.
    """
    regions = frozenset(region.name for region in manifest.regions)
    for rule in manifest.residency:
        if rule.name == caller.residency:
            regions &= frozenset(rule.regions)
    for declaration in manifest.models:
        if declaration.name == model and declaration.regions:
            regions &= frozenset(declaration.regions)
    return regions
