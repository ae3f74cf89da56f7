"""The border with upstreams that announce themselves."""

import hashlib
import hmac
from dataclasses import dataclass
from urllib.parse import parse_qs

from result import Err, Ok, Result

from godwitshunt.exceptions import DocumentError
from godwitshunt.exchange.admission import BEARER, unauthorized
from godwitshunt.exchange.ports import MembershipPort
from godwitshunt.exchange.problems import (
    Outcome,
    Problem,
    ProblemKind,
    WholeAnswer,
    json_answer,
)
from godwitshunt.exchange.requests import HttpRequest
from godwitshunt.manifest.documents import parse_document
from godwitshunt.membership.announcements import UpstreamAnnouncement
from godwitshunt.settings import EntrySettings
from godwitshunt.telemetry import Metrics

UPSTREAMS_PREFIX = '/v1/upstreams/'
NAME_CHARACTERS = 63


@dataclass
class AnnouncementBorder:
    """Checks announcements and hands them to membership."""

    settings: EntrySettings
    membership: MembershipPort
    metrics: Metrics

    def take(
        self,
        request: HttpRequest,
    ) -> Result[WholeAnswer, Problem]:
        """Take an upstream's announcement or departure."""
        name = request.path.removeprefix(UPSTREAMS_PREFIX)
        if not is_upstream_name(name):
            return Err(
                Problem(
                    ProblemKind.not_found,
                    f'found {name[:NAME_CHARACTERS]!r}, expected a name',
                    Outcome.not_run,
                ),
            )
        if not self.knows_upstream_token(request):
            self.metrics.count('announcements_unauthorized_total')
            return Err(unauthorized(request))
        match request.method:
            case 'PUT':
                return self.take_announcement(name, request)
            case 'DELETE':
                return self.take_departure(name, request)
        told = 'PUT and DELETE are taken'
        return Err(Problem(ProblemKind.method, told, Outcome.not_run))

    def take_announcement(
        self,
        name: str,
        request: HttpRequest,
    ) -> Result[WholeAnswer, Problem]:
        """Take an announcement."""
        try:
            announcement = parse_document(
                request.path,
                request.body,
                UpstreamAnnouncement,
                DocumentError,
            )
        except DocumentError as invalid:
            return Err(
                Problem(
                    ProblemKind.invalid_document,
                    str(invalid),
                    Outcome.not_run,
                ),
            )
        taken = self.membership.announce(name, announcement)
        return taken.map(lambda lease_s: json_answer({'lease_s': lease_s}))

    def take_departure(
        self,
        name: str,
        request: HttpRequest,
    ) -> Result[WholeAnswer, Problem]:
        """Take a departure; the incarnation stands in the query."""
        told = parse_qs(request.query).get('incarnation', [''])[0]
        if not (told.isascii() and told.isdigit()):
            return Err(
                Problem(
                    ProblemKind.invalid_document,
                    'incarnation: expected a whole number in the query',
                    Outcome.not_run,
                ),
            )
        self.membership.withdraw(name, int(told))
        return Ok(json_answer({}))

    def knows_upstream_token(self, request: HttpRequest) -> bool:
        """Tell whether an announcement may be taken."""
        expected = self.settings.upstream_token_sha256
        if expected is None:
            return True
        told = request.header(b'authorization') or ''
        token = told.removeprefix(BEARER).encode('latin-1')
        found = hashlib.sha256(token).hexdigest()
        return hmac.compare_digest(found, expected)


def is_upstream_name(name: str) -> bool:
    """Tell whether a name has the form of the manifest's names."""
    letters = name.replace('-', '')
    plain = letters.isascii() and letters.isalnum() and name == name.lower()
    return plain and len(name) <= NAME_CHARACTERS and not name.startswith('-')
