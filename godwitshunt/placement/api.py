"""What operators ask of placement over HTTP."""

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

MAX_SUBJECT = 256


class OrderAction(StrEnum):
    """What an upstream can be told to do."""

    load_model = 'load-model'
    load_adapter = 'load-adapter'
    load_version = 'load-version'
    change_role = 'change-role'


class OrderRequest(StrictModel):
    """An order as an operator sends it.

    Parameters
    ----------
    order : str
        A name that the operator's pipeline chooses; the same one is never
        issued twice.
    upstream : str
        The upstream's name.
    subject : str
        The model, adapter or version to load, or the role to take.
    weight_units : int
        Units that it takes from the weight store.
    """

    order: Name
    upstream: Name
    action: OrderAction
    subject: str = Field(min_length=1, max_length=MAX_SUBJECT)
    weight_units: int = Field(default=0, ge=0)


class PlacementApi:
    """The route for orders, to be added to the operators' API."""

    def __init__(self, task: PlacementTask) -> None:
        self.task = task

    async def order(self, request: OperatorRequest) -> OperatorAnswer:
        """Commit an order; it is sent as soon as that is safe."""
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
