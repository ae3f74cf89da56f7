"""Where a caller's request may go, and which rule says so."""

from typing import Any

from godwitshunt.configuration.narrowing import model_regions, rule_regions
from godwitshunt.configuration.state import ControlState
from godwitshunt.manifest import Manifest, Organisation, Route
from godwitshunt.organisations import bind_route


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
    """Return which route a request has, and by which rules it goes where.

    Parameters
    ----------
    organisation : str or None
        Whose request it is; None for one without a key.

    Raises
    ------
    KeyError
        Where the manifest declares no such organisation.
    """
    manifest = Manifest.model_validate(state.document.manifest_fields())
    holders = {one.name: one for one in manifest.organisations}
    holder = None if organisation is None else holders[organisation]
    told = {
        'revision': state.revision,
        'number': state.highest_number,
        'organisation': organisation,
    }
    route = route_at(manifest, host, path)
    if route is None:
        return {**told, 'answer': '404: no route has this host and path'}
    told |= {'route': route.name, 'keyed': route.keyed}
    return {**told, **rules_of(route, holder)}


def route_at(manifest: Manifest, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix that begins a path."""
    fitting = [
        route
        for route in manifest.routes
        if route.host == host.lower() and path.startswith(route.path_prefix)
    ]
    return max(fitting, key=lambda one: len(one.path_prefix), default=None)


def rules_of(route: Route, holder: Organisation | None) -> dict[str, Any]:
    """Return what holds for an organisation's requests of a route."""
    if route.keyed and holder is None:
        return {'answer': '401: the route asks for a key'}
    bound = bind_route(route, holder if route.keyed else None)
    if bound is None:
        return {
            'answer': '503: route and organisation have no home in common',
            'homes_of_route': list(route.homes),
            'homes_of_organisation': list(holder.homes),
        }
    limit = None if holder is None else holder.limit
    return {
        'answer': 'served',
        'homes': list(bound.homes) or 'all',
        'rank_of_route': bound.rank,
        'rank_of_organisation': None if holder is None else holder.rank,
        'limit': None if limit is None else limit.model_dump(mode='json'),
    }
