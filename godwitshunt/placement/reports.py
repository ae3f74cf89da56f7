"""Reports of entry VMs to control replicas on their region's upstreams."""

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
# All VMs of a region know the same upstreams, so only this many report them.
REPORTERS_PER_REGION = 2


def encode_report(upstreams: Iterable[UpstreamView]) -> bytes:
    """Return the message for the upstreams of a region."""
    wire_upstreams = [
        ttypes.UpstreamInfo(
            name=upstream.name,
            region=upstream.region,
            host=upstream.address.host,
            port=upstream.address.port,
            honours_fencing=upstream.honours_fencing,
        )
        for upstream in upstreams
    ]
    return encode(ttypes.PlacementReport(upstreams=wire_upstreams))


def decode_report(body: bytes) -> tuple[KnownUpstream, ...]:
    """Decode the upstreams of a report; raise FrameError if it is invalid."""
    report = decode(ttypes.PlacementReport, body)
    try:
        return tuple(
            KnownUpstream(
                wire_upstream.name,
                wire_upstream.region,
                Address(host=wire_upstream.host, port=wire_upstream.port),
                bool(wire_upstream.honours_fencing),
            )
            for wire_upstream in report.upstreams or ()
        )
    except (ValidationError, AttributeError) as error:
        raise FrameError(f'PlacementReport: {error!r}') from None


def is_reporter(revision: Revision | None, name: str, region: str) -> bool:
    """Return whether a VM is one of its region's reporters."""
    if revision is None:
        return False
    entries = [vm.name for vm in revision.vms if vm.role.value == 'entry']
    holders = [entry for entry in revision.holders if entry.region == region]
    if not holders:
        return False
    reporters = [entry for entry in holders[-1].names if entry in entries]
    return name in reporters[:REPORTERS_PER_REGION]


class PlacementReporter:
    """Reports a region's upstreams to the control replicas.

    Only `REPORTERS_PER_REGION` VMs of each region report.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the entry VM.
    configuration : ConfigurationTask
        Determines which VMs report.
    upstreams : callable
        Returns the region's upstreams as known to this VM.
    links : PeerLinks
        Connections to the control replicas.
    timer : Timer
        Triggers the reports.
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
        """Return the reporter of an entry VM."""
        return cls(settings, configuration, upstreams, links, timer)

    def start(self) -> None:
        """Start reporting."""
        self.subscription = self.timer.every(REPORT_PERIOD_S, self.report)

    async def close(self) -> None:
        """Stop reporting."""
        if self.subscription is not None:
            self.subscription.cancel()

    def report(self) -> None:
        """Send a report to every control replica if this VM is a reporter."""
        revision = self.configuration.current
        settings = self.settings
        if not is_reporter(revision, settings.name, settings.region):
            return
        body = encode_report(self.upstreams())
        for address in settings.control:
            self.links.notify(address, MessageKind.placement_report, body)
