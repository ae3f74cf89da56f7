"""Explanations of where a request may be served, and by which rules."""

from typing import Any

from godwitshunt.configuration.region_removals import (
    model_regions,
    rule_regions,
)
from godwitshunt.configuration.state import ControlState
from godwitshunt.manifest import Manifest, Organisation, Route
from godwitshunt.organisations import bind_route


def explain(
    state: ControlState,
    caller: str,
    service: str,
    model: str | None,
) -> dict[str, Any]:
    """Return the regions that may serve a caller, and the rules.

    Raises
    ------
    KeyError
        If the manifest does not declare the caller, service or model.
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
        'number': state.highest_number,
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


def explain_route(
    state: ControlState,
    host: str,
    path: str,
    organisation: str | None,
) -> dict[str, Any]:
    """Return the route of a request and the rules that apply to it.

    Parameters
    ----------
    organisation : str or None
        Organisation of the request; None for a request without a key.

    Raises
    ------
    KeyError
        If the manifest does not declare the organisation.
    """
    manifest = Manifest.model_validate(state.document.manifest_fields())
    organisations = {entry.name: entry for entry in manifest.organisations}
    owner = None if organisation is None else organisations[organisation]
    fields = {
        'revision': state.revision,
        'number': state.highest_number,
        'organisation': organisation,
    }
    route = find_route(manifest, host, path)
    if route is None:
        return {**fields, 'answer': '404: no route has this host and path'}
    fields |= {'route': route.name, 'keyed': route.keyed}
    return {**fields, **describe_route(route, owner)}


def find_route(manifest: Manifest, host: str, path: str) -> Route | None:
    """Return the route whose path prefix is the longest match."""
    matching = [
        route
        for route in manifest.routes
        if route.host == host.lower() and path.startswith(route.path_prefix)
    ]
    return max(
        matching, key=lambda candidate: len(candidate.path_prefix), default=None
    )


def describe_route(route: Route, owner: Organisation | None) -> dict[str, Any]:
    """Return the homes, ranks and limit of a route's requests."""
    if route.keyed and owner is None:
        return {'answer': '401: the route asks for a key'}
    bound = bind_route(route, owner if route.keyed else None)
    if bound is None:
        return {
            'answer': '503: route and organisation have no home in common',
            'homes_of_route': list(route.homes),
            'homes_of_organisation': list(owner.homes),
        }
    limit = None if owner is None else owner.limit
    return {
        'answer': 'served',
        'homes': list(bound.homes) or 'all',
        'rank_of_route': bound.rank,
        'rank_of_organisation': None if owner is None else owner.rank,
        'limit': None if limit is None else limit.model_dump(mode='json'),
    }
