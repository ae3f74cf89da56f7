"""Watches whether this VM still reaches the upstreams of its region."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from math import inf
from random import Random

from godwitshunt.configuration.background import BackgroundTasks
from godwitshunt.exchange.liveness import is_acknowledged
from godwitshunt.ingress.attempt import Attempt
from godwitshunt.ingress.path_prober import PathProber
from godwitshunt.routing.upstream_paths import (
    ProbeResult,
    ProbeTarget,
    Suspicion,
    UpstreamPaths,
    choose_targets,
    is_reached,
)
from godwitshunt.telemetry import Metrics, log_change
from godwitshunt.timer import Subscription, Timer

WATCH_PERIOD_S = 0.1
# A watch that is later than this has missed what arrived meanwhile.
LATE_WATCH_S = 0.1
# Sent bytes are acknowledged within a round trip of a few milliseconds, and
# are sent again after 0.2 s.
UNACKNOWLEDGED_S = 0.25
# Silence of all upstreams, beyond what was predicted of a waiting request.
SILENCE_S = 0.6
# After a check that found the paths sound, another one begins this much later
# at the earliest.
RECHECK_S = 0.25
RECOVERY_PERIOD_S = 0.4
CHECK = 'check'
RECOVERY = 'recovery'


def ignore_change() -> None:
    """Ignore that the paths are lost or back."""


@dataclass(eq=False)
class WatchedAttempt:
    """An attempt at an upstream that is in progress.

    Parameters
    ----------
    predicted_s : float
        Predicted seconds to the first bytes of the answer.
    may_repeat : bool
        True where the request may be sent to another upstream.
    sent_s : float
        When the request was written; infinite before.
    """

    instance: str
    request: str
    attempt: Attempt
    predicted_s: float
    may_repeat: bool
    sent_s: float = inf

    @property
    def is_connection_open(self) -> bool:
        """True if the connection is known to be open.

        The end of one that is not read for a slow caller is not noticed.
        """
        call = self.attempt.call
        if call is None or call.channel.read_paused:
            return False
        return not call.channel.ended

    def is_unacknowledged(self, now_s: float) -> bool:
        """Tell whether the request has not reached the upstream's machine."""
        if self.attempt.answer_started or self.attempt.call is None:
            return False
        if now_s - self.sent_s < UNACKNOWLEDGED_S:
            return False
        transport = self.attempt.call.channel.transport
        return not is_acknowledged(transport.get_extra_info('socket'))

    def is_overdue(self, now_s: float) -> bool:
        """Tell whether the answer is much later than predicted."""
        waited_s = now_s - self.sent_s
        return not self.attempt.answer_started and (
            waited_s > self.predicted_s + max(self.predicted_s, SILENCE_S)
        )


@dataclass(eq=False)
class PathMonitor:
    """Probes upstreams when attempts fail, and until they are reached again.

    Parameters
    ----------
    targets : callable
        Returns the upstreams of the region.
    on_change : callable
        Called when the paths are lost or back.
    attempts : set of WatchedAttempt
        Attempts in progress.
    checked_s, received_s : float
        When the last check ended, and when bytes last came from any upstream.
    deferred : list of callable
        Called when the current check has ended.
    """

    prober: PathProber
    timer: Timer
    metrics: Metrics
    targets: Callable[[], list[ProbeTarget]] = list
    on_change: Callable[[], None] = ignore_change
    random: Random = field(default_factory=Random)
    paths: UpstreamPaths = field(default_factory=UpstreamPaths)
    background: BackgroundTasks = field(default_factory=BackgroundTasks)
    attempts: set[WatchedAttempt] = field(default_factory=set)
    deferred: list[Callable[[], None]] = field(default_factory=list)
    checked_s: float = -inf
    received_s: float = -inf
    watched_s: float = inf
    subscriptions: tuple[Subscription, ...] = ()

    @property
    def are_lost(self) -> bool:
        """True if this VM reaches no upstream of its region."""
        return self.paths.are_lost

    def start(self) -> None:
        """Watch the attempts in progress."""
        self.subscriptions = (
            self.timer.every(WATCH_PERIOD_S, self.watch),
            self.timer.every(RECOVERY_PERIOD_S, self.probe_lost_paths),
        )

    async def close(self) -> None:
        """Stop watching and probing."""
        for subscription in self.subscriptions:
            subscription.cancel()
        await self.background.close()

    def watch(self) -> None:
        """Suspect the paths if requests are not acknowledged or answered."""
        now_s = self.timer.now()
        late_s = now_s - self.watched_s - WATCH_PERIOD_S
        self.watched_s = now_s
        if self.are_lost or late_s > LATE_WATCH_S:
            return
        is_silent = now_s - self.received_s > SILENCE_S
        for watched in self.attempts:
            if watched.is_unacknowledged(now_s):
                suspicion = Suspicion.connection
            elif is_silent and watched.is_overdue(now_s):
                suspicion = Suspicion.silence
            else:
                continue
            self.suspect(suspicion, watched.instance, watched.request)
            return

    def has_open_attempt(self, instance: str) -> bool:
        """Return whether an upstream keeps the connection of a request open."""
        return any(
            watched.instance == instance and watched.is_connection_open
            for watched in self.attempts
        )

    def record_received(self) -> None:
        """Record that bytes came from an upstream."""
        self.received_s = self.timer.now()

    def suspect(
        self, suspicion: Suspicion, instance: str, request: str
    ) -> None:
        """Check the paths, unless that is done already."""
        if self.are_lost:
            return
        if self.timer.now() - self.checked_s < RECHECK_S:
            return
        self.background.run(
            CHECK, partial(self.check, suspicion, instance, request)
        )

    async def wait_checked(self) -> None:
        """Wait until the current check has ended."""
        await self.background.wait(CHECK)

    def when_checked(self, callback: Callable[[], None]) -> None:
        """Call back when the current check has ended; at once without one."""
        if self.background.is_running(CHECK):
            self.deferred.append(callback)
        else:
            callback()

    async def check(
        self, suspicion: Suspicion, instance: str, request: str
    ) -> None:
        """Check whether other upstreams are reached."""
        start_s = self.timer.now()
        targets = choose_targets(self.targets(), instance, self.random)
        results = await self.probe(targets, suspicion)
        now_s = self.timer.now()
        self.checked_s = now_s
        are_lost = self.paths.record_check(suspicion, results, now_s)
        log_change(
            'ingress:paths_checked',
            suspicion=suspicion.name,
            instance=instance,
            request=request,
            probes=describe(targets, results),
            took_s=round(now_s - start_s, 4),
            lost=are_lost,
        )
        if are_lost:
            self.metrics.gauge('ingress_paths_lost', 1)
            self.on_change()
            self.abort_unreached()
        while self.deferred:
            self.deferred.pop(0)()

    async def probe(
        self, targets: list[ProbeTarget], suspicion: Suspicion
    ) -> list[ProbeResult]:
        """Probe upstreams; stop where one refutes the suspicion."""
        probing = [
            asyncio.create_task(self.prober.probe(target, suspicion))
            for target in targets
        ]
        results = [ProbeResult.silent for _ in probing]
        waiting = set(probing)
        try:
            while waiting and not is_reached(suspicion, results):
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    results[probing.index(task)] = task.result()
        finally:
            for task in waiting:
                task.cancel()
        for probe_result in results:
            self.metrics.count(
                'ingress_path_probes_total', outcome=probe_result.name
            )
        return results

    def probe_lost_paths(self) -> None:
        """Probe again while the paths are lost."""
        if self.are_lost:
            self.background.run(RECOVERY, self.probe_round)

    async def probe_round(self) -> None:
        """Probe some upstreams; record whether the paths are back."""
        targets = choose_targets(self.targets(), '', self.random)
        lost_s = self.paths.since_s
        results = await self.probe(targets, self.paths.lost_by)
        if self.paths.record_round(results, self.timer.now()):
            log_change(
                'ingress:paths_back',
                probes=describe(targets, results),
                lost_s=round(self.timer.now() - lost_s, 3),
            )
            self.metrics.gauge('ingress_paths_lost', 0)
            self.on_change()

    def abort_unreached(self) -> None:
        """End attempts whose request has not reached its upstream.

        They are repeated elsewhere now instead of after their timeouts.
        """
        now_s = self.timer.now()
        for watched in tuple(self.attempts):
            if watched.may_repeat and watched.is_unacknowledged(now_s):
                watched.attempt.call.channel.abort()


def describe(
    targets: list[ProbeTarget], results: list[ProbeResult]
) -> dict[str, str]:
    """Return the results of probes by upstream, for logs."""
    return {
        target.instance: probe_result.name
        for target, probe_result in zip(targets, results, strict=True)
    }
