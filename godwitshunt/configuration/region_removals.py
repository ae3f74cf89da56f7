"""VMs that have to apply a manifest before it is accepted.

A manifest may remove a region from a caller or a model. Until the VMs of that
region have applied it, one of them may still serve there by the older rule, so
the manifest must not be reported as accepted earlier.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from godwitshunt.configuration.commands import AwaitedVm
from godwitshunt.configuration.document import Document, Entry
from godwitshunt.configuration.revision import VmRole


@dataclass(frozen=True)
class RegionRemoval:
    """Removal of a region from a caller or a model.

    Parameters
    ----------
    serves_while_isolated : bool
        True if by the older rule a VM of that region serves the caller even
        while it is isolated.
    """

    region: str
    serves_while_isolated: bool


def awaited_vms(
    before: Document,
    after: Document,
    absent: Mapping[str, str],
) -> tuple[AwaitedVm, ...]:
    """Return the VMs of the regions that are removed from a caller or model.

    Parameters
    ----------
    absent : mapping
        Region of each VM that left the list without a heartbeat and may be
        partitioned.
    """
    lost: dict[str, bool] = {}
    for removal in region_removals(before, after):
        isolated = lost.get(removal.region, False)
        lost[removal.region] = isolated or removal.serves_while_isolated
    entries = {
        vm['name']: vm['region']
        for vm in before.section('vms').values()
        if vm['role'] == VmRole.entry.value
    }
    return tuple(
        AwaitedVm(name, not lost[region])
        for name, region in {**absent, **entries}.items()
        if region in lost
    )


def region_removals(
    before: Document, after: Document
) -> Iterator[RegionRemoval]:
    """Yield every removal of a region from a caller or a model."""
    yield from caller_removals(before, after)
    for name, model in before.section('models').items():
        later = after.section('models').get(name)
        if later is not None:
            lost = model_regions(before, model) - model_regions(after, later)
            for region in sorted(lost):
                yield RegionRemoval(region, serves_while_isolated=True)


def caller_removals(
    before: Document,
    after: Document,
) -> Iterator[RegionRemoval]:
    """Yield the removals from callers, once for each distinct change."""
    old_rules = rule_regions(before)
    new_rules = rule_regions(after)
    later_callers = after.section('callers')
    changes = {
        (caller['residency'], later_callers[name]['residency'], caller['home'])
        for name, caller in before.section('callers').items()
        if name in later_callers
    }
    for old_rule, new_rule, home in changes:
        for region in old_rules[old_rule] - new_rules[new_rule]:
            yield RegionRemoval(region, old_rule is None or home == region)


def rule_regions(document: Document) -> dict[str | None, frozenset[str]]:
    """Return the regions of each residency rule; None stands for no rule."""
    everywhere = frozenset(document.section('regions'))
    rules = {
        name: frozenset(rule['regions'])
        for name, rule in document.section('residency').items()
    }
    return {None: everywhere, **rules}


def model_regions(document: Document, model: Entry) -> frozenset[str]:
    """Return the regions that a model may run in."""
    return frozenset(model['regions'] or document.section('regions'))
