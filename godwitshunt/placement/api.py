"""Operators' HTTP API for placement."""

from dataclasses import asdict
from enum import StrEnum

from pydantic import Field
from result import Err

from godwitshunt.configuration.commands import IssueOrder, OrderIssued
from godwitshunt.configuration.operator_api import BODY, answer, refusal
from godwitshunt.configuration.operator_http import (
    OperatorAnswer,
    OperatorRequest,
)
from godwitshunt.configuration.problems import (
    OperatorProblem,
    invalid_document,
    problem_of,
)
from godwitshunt.exceptions import DocumentError
from godwitshunt.manifest.base import Name, StrictModel
from godwitshunt.manifest.documents import parse_document
from godwitshunt.placement.task import (
    BurstExceeded,
    PlacementTask,
    UpstreamUnknown,
    WeightStoreBusy,
)

MAX_SUBJECT_CHARACTERS = 256


class OrderAction(StrEnum):
    """Actions that can be ordered from an upstream."""

    load_model = 'load-model'
    load_adapter = 'load-adapter'
    load_version = 'load-version'
    change_role = 'change-role'


class OrderRequest(StrictModel):
    """An order as sent by an operator.

    Parameters
    ----------
    order : str
        Name chosen by the operator's pipeline; an order is issued at most once
        per name.
    upstream : str
        Name of the upstream.
    action : OrderAction
        What the upstream has to do.
    subject : str
        The model, adapter or version to load, or the new role.
    weight_units : int
        Units to acquire from the weight store.
    """

    order: Name
    upstream: Name
    action: OrderAction
    subject: str = Field(min_length=1, max_length=MAX_SUBJECT_CHARACTERS)
    weight_units: int = Field(default=0, ge=0)


class PlacementApi:
    """Endpoint for orders in the operators' API."""

    def __init__(self, task: PlacementTask) -> None:
        self.task = task

    async def order(self, request: OperatorRequest) -> OperatorAnswer:
        """Commit an order; it is sent as soon as it is safe to do so."""
        try:
            order = parse_document(
                BODY,
                request.body,
                OrderRequest,
                DocumentError,
            )
        except DocumentError as invalid:
            return refusal(invalid_document(invalid))
        issued = await self.task.issue(
            IssueOrder(
                order.order,
                order.upstream,
                order.action.value,
                order.subject,
                order.weight_units,
            ),
        )
        outcome = issued.err() if isinstance(issued, Err) else issued.ok()
        match outcome:
            case OrderIssued():
                return answer({'outcome': 'issued', **asdict(outcome)})
            case WeightStoreBusy(wait_s):
                return refusal(
                    OperatorProblem(
                        'weight-store-busy',
                        429,
                        f'the weight store has the units in {wait_s:.1f} s',
                        extra={'retry_after_s': wait_s},
                    ),
                )
            case BurstExceeded(units, burst):
                return refusal(
                    OperatorProblem(
                        'weight-units-exceed-burst',
                        400,
                        f'{units} units, the weight store gives at most '
                        f'{burst:g} at once',
                    ),
                )
            case UpstreamUnknown(upstream):
                return refusal(
                    OperatorProblem(
                        'unknown-upstream',
                        404,
                        f'no upstream {upstream} was reported lately',
                    ),
                )
        return refusal(problem_of(outcome))
