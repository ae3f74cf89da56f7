"""Key stamps for the directory, from the epochs that holders report.

A key stamp is the prefix ``region.generation.epoch`` of an idempotency key.
"""

import asyncio
from collections.abc import Iterable

from godwitshunt.claims.claim_driver import HolderClient
from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.holder_status import majority
from godwitshunt.claims.keys import make_stamp
from godwitshunt.claims.wire import status_from_wire
from godwitshunt.configuration.revision import HolderSet
from godwitshunt.exceptions import FrameError
from godwitshunt.membership.background_tasks import BackgroundTasks
from godwitshunt.peer import MessageKind, decode
from godwitshunt.settings import NodeSettings
from godwitshunt.timer import Subscription

EPOCH_POLL_INTERVAL_S = 5.0
EPOCH_CHECK_INTERVAL_S = 0.5
# The newest holder set, and its predecessor until a majority of the newest has
# reported its epoch.
MAX_STAMPED_SETS = 2
# Stamps whose epoch was confirmed longer ago are not issued: they would shorten
# the time in which callers can use their keys.
MAX_STAMP_AGE_S = 20.0


class KeyStampSource:
    """Tracks the epochs of the newest holder sets of this VM's region.

    Parameters
    ----------
    settings : NodeSettings
        The VM's name and region.
    client : HolderClient
        Sends requests to the holders and records their epochs.
    """

    def __init__(self, settings: NodeSettings, client: HolderClient) -> None:
        self.settings = settings
        self.client = client
        self.holder_sets: tuple[HolderSet, ...] = ()
        self.background_tasks = BackgroundTasks()
        self.subscriptions: list[Subscription] = []

    def start(self) -> None:
        """Start to poll the holders for their epochs."""
        timer = self.client.timer
        self.subscriptions = [
            timer.every(EPOCH_CHECK_INTERVAL_S, self.refresh_epochs)
        ]

    async def close(self) -> None:
        """Stop polling."""
        for subscription in self.subscriptions:
            subscription.cancel()
        await self.background_tasks.close()

    def apply_holder_sets(self, holder_sets: Iterable[HolderSet]) -> None:
        """Apply the committed holder sets."""
        self.holder_sets = tuple(holder_sets)
        self.refresh_epochs()

    def newest_generation(self) -> tuple[str, int] | None:
        """Return region and generation of the newest holder set, if any."""
        newest = next(iter(self.newest_holder_sets()), None)
        return newest and (newest.region, newest.generation)

    def newest_holder_sets(self) -> list[HolderSet]:
        """Return the newest holder sets of this VM's region, newest first."""
        candidates = [
            holder_set
            for holder_set in self.holder_sets
            if holder_set.region == self.settings.region
        ]
        candidates.sort(
            key=lambda holder_set: holder_set.generation, reverse=True
        )
        return candidates[:MAX_STAMPED_SETS]

    def stamp(self) -> str | None:
        """Return the current key stamp, or None while no epoch is known."""
        for holder_set in self.newest_holder_sets():
            generation = (holder_set.region, holder_set.generation)
            # A majority of a newly committed set may not have applied it yet
            # and could not vote; its predecessor is used until it has.
            if self.epoch_age_s(generation) <= MAX_STAMP_AGE_S:
                return make_stamp(*generation, self.client.epochs[generation])
        return None

    def epoch_age_s(self, generation: tuple[str, int]) -> float:
        """Return the seconds since a majority reported its epoch."""
        majority_seen_s = self.client.majority_seen_s.get(
            generation, float('-inf')
        )
        return self.client.timer.now() - majority_seen_s

    def refresh_epochs(self) -> None:
        """Query the sets whose epoch is unknown or due for a refresh."""
        for holder_set in self.newest_holder_sets():
            generation = (holder_set.region, holder_set.generation)
            if self.epoch_age_s(generation) < EPOCH_POLL_INTERVAL_S:
                return
            self.background_tasks.run(self.query_epoch(holder_set))

    async def query_epoch(self, holder_set: HolderSet) -> None:
        """Query every holder of a set for its epoch.

        Replies from a majority update the time at which it was last seen.
        """
        generation = (holder_set.region, holder_set.generation)
        epochs = await asyncio.gather(
            *(
                self.query_holder_epoch(generation, name)
                for name in holder_set.names
            ),
        )
        reported = [epoch for epoch in epochs if epoch is not None]
        if len(reported) >= majority(len(holder_set.names)):
            self.client.majority_seen_s[generation] = self.client.timer.now()

    async def query_holder_epoch(
        self,
        generation: tuple[str, int],
        name: str,
    ) -> int | None:
        """Return the epoch of one holder, or None without a valid reply."""
        if name == self.settings.name:
            holder = self.client.local_holder.table.holders.get(generation)
            if holder is None or holder.recovering:
                return None
            self.client.record_epoch(generation, holder.epoch)
            return holder.epoch
        call = ttypes.HolderCall(
            *generation,
            epoch=self.client.epochs.get(generation, 0),
        )
        reply = await self.client.call(name, MessageKind.claim_epoch, call)
        if reply is None:
            return None
        try:
            wire = decode(ttypes.HolderReply, reply)
            status = status_from_wire(wire.standing)
        except FrameError:
            return None
        if status is None:
            return None
        self.client.record_epoch(generation, status.epoch)
        return status.epoch
