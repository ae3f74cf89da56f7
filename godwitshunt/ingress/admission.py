"""Which request of a caller is taken: its route, service and organisation."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from result import Err, Ok, Result

from godwitshunt.exchange.problems import Outcome, Problem, ProblemKind
from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.ingress.active_revision import ActiveRevision
from godwitshunt.ingress.authorization import Authorizer
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.headers import keep_sendable
from godwitshunt.ingress.prompts import Prompt
from godwitshunt.ingress.requests import (
    RoutedRequest,
    deadline_s,
    prompt_of,
    resume_after,
)
from godwitshunt.manifest import Organisation, Route, Service
from godwitshunt.organisations import key_digest
from godwitshunt.picking.routes import host_name, pick_service

# A request whose key is not known here waits for newer news, so long at most:
# control VMs prove each quarter of a second that they have every commit, over
# a way of a tenth or two.
KEY_WAIT_S = 0.6
KEY_ASK_PERIOD_S = 0.06


def never() -> bool:
    """Tell that a VM is not young."""
    return False


def refused(kind: ProblemKind, told: str) -> Err[Problem]:
    """Return the refusal of a request that did not run."""
    return Err(Problem(kind, told, Outcome.not_run))


@dataclass(frozen=True)
class Holder:
    """Whose a request is, and the digest of the key that says so."""

    organisation: Organisation | None = None
    key_sha256: str = ''


@dataclass
class Admission:
    """Admits callers' requests by the revision in force.

    Parameters
    ----------
    names : HeaderNames
        Headers that callers speak.
    active_revision : callable
        Returns the revision in force; None before the first.
    authorizer : Authorizer
        Whether what is known of keys still holds.
    random : random.Random
        Draws a service by the route's weights.
    is_warming_up : callable
        Returns whether the VM has started a moment ago, and news still comes.
    """

    names: HeaderNames
    active_revision: Callable[[], ActiveRevision | None]
    authorizer: Authorizer
    random: Random
    is_warming_up: Callable[[], bool] = never

    async def admit(
        self,
        http: HttpRequest,
        now_s: float,
    ) -> Result[RoutedRequest, Problem]:
        """Admit a request, after newer news where its key is not known.

        A VM may be a moment behind: the key that it doesn't know has just
        been added, and its caller would take a refusal for the last word.
        """
        found = self.find(http, now_s)
        if not self.may_be_behind(found):
            return found
        with suppress(TimeoutError):
            async with asyncio.timeout(KEY_WAIT_S):
                found = await self.find_with_news(http, now_s)
        if self.is_unknown_key(found) and not self.authorizer.is_newest:
            told = 'whether the key holds could not be found out'
            return refused(ProblemKind.unproven, told)
        return found

    async def find_with_news(
        self,
        http: HttpRequest,
        now_s: float,
    ) -> Result[RoutedRequest, Problem]:
        """Find a request's route again until the news is as new as it is.

        A control VM may itself lag behind the one that acknowledged a key.
        """
        while True:
            await self.authorizer.renew()
            found = self.find(http, now_s)
            is_certain = self.authorizer.is_newer_than(now_s)
            if is_certain or not self.may_be_behind(found):
                return found
            await asyncio.sleep(KEY_ASK_PERIOD_S)

    def may_be_behind(self, found: Result[RoutedRequest, Problem]) -> bool:
        """Tell whether newer news may lead to another answer.

        A VM that is cut off refuses at once: no news will come.
        """
        if self.is_unknown_key(found):
            return True
        return self.is_warming_up() and is_problem(found, ProblemKind.unproven)

    def is_unknown_key(self, found: Result[RoutedRequest, Problem]) -> bool:
        """Tell whether a request was refused for its key."""
        return is_problem(found, ProblemKind.unauthorized)

    def find(
        self,
        http: HttpRequest,
        now_s: float,
    ) -> Result[RoutedRequest, Problem]:
        """Find a request's route, organisation and service."""
        active_revision = self.active_revision()
        if active_revision is None:
            told = 'no revision is in force here yet'
            return refused(ProblemKind.not_ready, told)
        host = host_name(http.header(b'host'))
        route = active_revision.table.match(host, http.path)
        if route is None:
            told = 'no route has this host and path'
            return refused(ProblemKind.not_found, told)
        found = self.holder(http, route, active_revision)
        if isinstance(found, Err):
            return found
        return self.route(http, route, found.ok_value, now_s)

    def holder(
        self,
        http: HttpRequest,
        route: Route,
        active_revision: ActiveRevision,
    ) -> Result[Holder, Problem]:
        """Return whose a request is."""
        if not route.keyed:
            return Ok(Holder())
        if not self.authorizer.is_proven:
            told = 'it is not known here which keys still hold'
            return refused(ProblemKind.unproven, told)
        keys = [
            content for name, content in http.headers if name == self.names.key
        ]
        if len(keys) != 1:
            told = f'{len(keys)} keys were given and not one'
            return refused(ProblemKind.unauthorized, told)
        organisation = active_revision.table.keys.find(keys[0])
        if organisation is None:
            told = 'the key is not known'
            return refused(ProblemKind.unauthorized, told)
        return Ok(Holder(organisation, key_digest(keys[0])))

    def route(
        self,
        http: HttpRequest,
        route: Route,
        holder: Holder,
        now_s: float,
    ) -> Result[RoutedRequest, Problem]:
        """Return a request with all that is known of it."""
        active_revision = self.active_revision()
        bound = active_revision.table.bind(route, holder.organisation)
        if bound is None:
            told = 'its route and its organisation have no home in common'
            return refused(ProblemKind.no_upstream, told)
        name = pick_service(bound, self.random.random())
        service = active_revision.services[name]
        prompt = prompt_of(http, self.names)
        if is_too_long(prompt, service):
            told = 'its prompt is longer than the memory of any upstream'
            return refused(ProblemKind.no_upstream, told)
        waits_s = min(bound.timeout_s, deadline_s(http, self.names))
        return Ok(
            RoutedRequest(
                id=http.header(self.names.request_id) or '',
                http=http,
                headers=keep_sendable(http.headers, self.names),
                route=bound,
                service=service,
                prompt=prompt,
                arrived_s=now_s,
                ends_s=now_s + waits_s,
                resume_after=resume_after(http, self.names),
                low_urgency_regions=active_revision.low_urgency_regions(
                    bound, service
                ),
                level=active_revision.table.level(bound, holder.organisation),
                organisation=holder.organisation,
                key_sha256=holder.key_sha256,
            ),
        )


def is_too_long(prompt: Prompt, service: Service) -> bool:
    """Tell whether no upstream of a service holds a prompt.

    Each would turn it away as if it were full, one after the other.
    """
    engine = service.engine
    return engine is not None and prompt.prompt_tokens > engine.memory_tokens


def is_problem(
    found: Result[RoutedRequest, Problem],
    kind: ProblemKind,
) -> bool:
    """Tell whether a request was refused for one reason."""
    return isinstance(found, Err) and found.err_value.kind is kind
