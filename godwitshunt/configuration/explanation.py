"""Where a caller's request may go, and which rule says so."""

from typing import Any

from godwitshunt.configuration.narrowing import model_regions, rule_regions
from godwitshunt.configuration.state import ControlState


def explain(
    state: ControlState,
    caller: str,
    service: str,
    model: str | None,
) -> dict[str, Any]:
    """Return regions and rules for a request.

    Raises
    ------
    KeyError
        Where the manifest does not declare the caller, service or model.
    """
    document = state.document
    declared = document.section('callers')[caller]
    kind = document.section('services')[service]['kind']
    rule = declared['residency']
    by_rule = rule_regions(document)[rule]
    by_model = by_rule
    if model is not None:
        by_model = model_regions(document, document.section('models')[model])
    allowed = by_rule & by_model
    return {
        'revision': state.revision,
        'number': state.highest,
        'caller': caller,
        'home': declared['home'],
        'service': service,
        'service_kind': kind,
        'model': model,
        'residency_rule': rule,
        'regions_by_residency': sorted(by_rule),
        'regions_by_model': sorted(by_model),
        'allowed_regions': sorted(allowed),
        'served_while_home_is_isolated': declared['home'] in allowed,
        'away_from_home_only': declared['home'] not in allowed,
    }
