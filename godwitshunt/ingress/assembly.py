"""Builds the context that an entry VM serves requests with."""

from functools import partial
from random import Random

from godwitshunt.exchange.held_bytes import make_budget
from godwitshunt.exchange.upstream_messages import Place
from godwitshunt.exchange.upstream_pool import UpstreamPool
from godwitshunt.ingress.authorization import Authorizer
from godwitshunt.ingress.context import Budgets, IngressContext
from godwitshunt.ingress.crash_detector import CrashDetector
from godwitshunt.ingress.header_names import HeaderNames
from godwitshunt.ingress.path_monitor import PathMonitor
from godwitshunt.ingress.path_prober import PathProber
from godwitshunt.ingress.reachability import Reachability
from godwitshunt.ingress.upstream_headers import AnswerHeaderReader
from godwitshunt.picking.attempt_recorder import AttemptRecorder
from godwitshunt.picking.chooser import Chooser
from godwitshunt.picking.client import PickerClient
from godwitshunt.registry import RegistryWatch
from godwitshunt.routing.allowance_lease import AllowanceLease
from godwitshunt.routing.cold_budget import ColdBounds, ColdBudget
from godwitshunt.routing.retry_window import RetryBounds
from godwitshunt.settings import Address, IngressSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Timer

# An engine of the known deployments takes 590 connections, and 27 entry VMs of
# its region keep connections to it.
IDLE_AT_EACH_UPSTREAM = 16


def make_context(
    settings: IngressSettings,
    cluster_key: bytes,
    names: HeaderNames,
    watch: RegistryWatch,
    picker: PickerClient,
    timer: Timer,
    metrics: Metrics,
) -> IngressContext:
    """Return the context of an entry VM before any revision is active."""
    upstreams = picker.reports.upstreams
    source = settings.http.host
    chooser = Chooser(
        settings.region,
        upstreams,
        picker.neighbours,
        Random(),
        settings.away_s,
    )
    path_monitor = PathMonitor(PathProber(source), timer, metrics)
    pool = UpstreamPool(metrics, source=source, idle_each=IDLE_AT_EACH_UPSTREAM)
    context = IngressContext(
        settings=settings,
        names=names,
        cluster_key=cluster_key,
        active_revision=lambda: None,
        authorizer=Authorizer.from_config(settings.bounds, timer.now),
        watch=watch,
        upstreams=upstreams,
        neighbours=picker.neighbours,
        chooser=chooser,
        attempt_recorder=AttemptRecorder(
            upstreams, watch.view, watch.mark_replaced, metrics
        ),
        picker=picker,
        budgets=make_budgets(settings, timer.now()),
        answer_headers=AnswerHeaderReader(
            names,
            upstreams.rate_limiter.table,
            upstreams.observed_limits,
            upstreams.pauses,
            upstreams.departures,
            upstreams.brittle,
            upstreams.observed_brittle,
            picker.schedule_report,
            timer,
            metrics,
        ),
        crash_detector=CrashDetector(
            watch.quarantine,
            timer,
            source,
            path_monitor,
            partial(has_open_connection, pool, path_monitor),
        ),
        path_monitor=path_monitor,
        reachability=Reachability(
            settings.region, watch, upstreams, pool, path_monitor, timer
        ),
        pool=pool,
        hops=UpstreamPool(metrics, source=source),
        timer=timer,
        metrics=metrics,
        buffers=make_budget(settings.limits.buffer_bytes, metrics),
    )
    context.reachability.services = context.services
    chooser.filter.has_cold_capacity = context.has_cold_capacity
    chooser.filter.has_slot = context.has_slot
    return context


def has_open_connection(
    pool: UpstreamPool,
    path_monitor: PathMonitor,
    incarnation: str,
    address: Address,
) -> bool:
    """Tell whether an upstream keeps a connection of this VM open."""
    return path_monitor.has_open_attempt(incarnation) or pool.has_open(
        Place(address, incarnation)
    )


def make_budgets(settings: IngressSettings, now_s: float) -> Budgets:
    """Return the budgets for retries and for requests to cold upstreams."""
    bounds = settings.bounds
    cold = ColdBounds(bounds.cold_factor, bounds.cold_allowance)
    retries = RetryBounds(
        bounds.retry_share,
        bounds.retry_allowance,
        bounds.retry_window_s,
    )
    lease = AllowanceLease(
        bounds.retry_window_s, now_s, is_first=settings.is_first_start
    )
    return Budgets(retries, ColdBudget(cold, now_s), {}, lease)
