"""What entry VMs tell control replicas of the upstreams of their region."""

from collections.abc import Callable, Iterable
from typing import Self

from pydantic import ValidationError

from godwitshunt.configuration import ConfigurationTask, Revision
from godwitshunt.exceptions import FrameError
from godwitshunt.membership.views import UpstreamView
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.placement.decisions import KnownUpstream
from godwitshunt.placement.gen.wire import ttypes
from godwitshunt.settings import Address, NodeSettings
from godwitshunt.timer import Subscription, Timer

REPORT_PERIOD_S = 5.0
# Every VM of a region knows the same upstreams; that many report them.
REPORTERS = 2


def encode_report(upstreams: Iterable[UpstreamView]) -> bytes:
    """Return the message for the upstreams of a region."""
    infos = [
        ttypes.UpstreamInfo(
            name=one.name,
            region=one.region,
            host=one.address.host,
            port=one.address.port,
            honours_fencing=one.honours_fencing,
        )
        for one in upstreams
    ]
    return encode(ttypes.PlacementReport(upstreams=infos))


def decode_report(body: bytes) -> tuple[KnownUpstream, ...]:
    """Read the upstreams of a report; raise FrameError where it is none."""
    report = decode(ttypes.PlacementReport, body)
    try:
        return tuple(
            KnownUpstream(
                info.name,
                info.region,
                Address(host=info.host, port=info.port),
                bool(info.honours_fencing),
            )
            for info in report.upstreams or ()
        )
    except (ValidationError, AttributeError) as bad:
        raise FrameError(f'PlacementReport: {bad!r}') from None


def is_reporter(revision: Revision | None, name: str, region: str) -> bool:
    """Tell whether a VM is one of those that report for its region."""
    if revision is None:
        return False
    entries = [vm.name for vm in revision.vms if vm.role.value == 'entry']
    holders = [one for one in revision.holders if one.region == region]
    if not holders:
        return False
    chosen = [one for one in holders[-1].names if one in entries]
    return name in chosen[:REPORTERS]


class PlacementReporter:
    """Tells control replicas of upstreams, from some VMs of each region.

    Parameters
    ----------
    settings : NodeSettings
        Of the entry VM.
    configuration : ConfigurationTask
        Says which VMs report.
    upstreams : callable
        Returns the region's upstreams as this VM knows them.
    links : PeerLinks
        To the control replicas.
    timer : Timer
        Gives the period.
    """

    def __init__(
        self,
        settings: NodeSettings,
        configuration: ConfigurationTask,
        upstreams: Callable[[], Iterable[UpstreamView]],
        links: PeerLinks,
        timer: Timer,
    ) -> None:
        self.settings = settings
        self.configuration = configuration
        self.upstreams = upstreams
        self.links = links
        self.timer = timer
        self.subscription: Subscription | None = None

    @classmethod
    def from_config(
        cls,
        settings: NodeSettings,
        configuration: ConfigurationTask,
        upstreams: Callable[[], Iterable[UpstreamView]],
        links: PeerLinks,
        timer: Timer,
    ) -> Self:
        """Make the reporter of an entry VM."""
        return cls(settings, configuration, upstreams, links, timer)

    def start(self) -> None:
        """Begin to report."""
        self.subscription = self.timer.every(REPORT_PERIOD_S, self.report)

    async def close(self) -> None:
        """Report no more."""
        if self.subscription is not None:
            self.subscription.cancel()

    def report(self) -> None:
        """Tell every control replica, where this VM is a reporter."""
        revision = self.configuration.current
        settings = self.settings
        if not is_reporter(revision, settings.name, settings.region):
            return
        body = encode_report(self.upstreams())
        for address in settings.control:
            self.links.notify(address, MessageKind.placement_report, body)
