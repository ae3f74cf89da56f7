"""Stamps for the directory: the epoch that holders are in."""

import asyncio
from collections.abc import Iterable

from godwitshunt.claims.ballots import HolderLinks
from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.keys import make_stamp
from godwitshunt.claims.standing import majority
from godwitshunt.claims.wire import standing_from_wire
from godwitshunt.configuration.revision import HolderSet
from godwitshunt.exceptions import FrameError
from godwitshunt.membership.background_tasks import BackgroundTasks
from godwitshunt.peer import MessageKind, decode
from godwitshunt.settings import NodeSettings
from godwitshunt.timer import Subscription

EPOCH_POLL_S = 5.0
EPOCH_CHECK_S = 0.5
# The newest holder set, and the one before until the newest has voters.
STAMPED_SETS = 2
# Stamps of an older epoch than this would shorten the time in which callers
# may use them.
STAMP_LIMIT_S = 20.0


class StampKeeper:
    """Follows the epochs of the own region's newest holder sets.

    Parameters
    ----------
    settings : NodeSettings
        The VM's name and region.
    links : HolderLinks
        Ways to the holders; they learn the epochs.
    """

    def __init__(self, settings: NodeSettings, links: HolderLinks) -> None:
        self.settings = settings
        self.links = links
        self.sets: tuple[HolderSet, ...] = ()
        self.background_tasks = BackgroundTasks()
        self.subscriptions: list[Subscription] = []

    def start(self) -> None:
        """Begin to ask holders."""
        timer = self.links.timer
        self.subscriptions = [timer.every(EPOCH_CHECK_S, self.poll_epoch)]

    async def close(self) -> None:
        """Ask no more."""
        for subscription in self.subscriptions:
            subscription.cancel()
        await self.background_tasks.close()

    def apply_sets(self, sets: Iterable[HolderSet]) -> None:
        """Follow the committed holder sets."""
        self.sets = tuple(sets)
        self.poll_epoch()

    def newest_generation(self) -> tuple[str, int] | None:
        """Return the own region's newest holder set."""
        newest = next(iter(self.own_sets()), None)
        return newest and (newest.region, newest.generation)

    def own_sets(self) -> list[HolderSet]:
        """Return the newest holder sets of the own region, newest first."""
        own = [one for one in self.sets if one.region == self.settings.region]
        own.sort(key=lambda one: one.generation, reverse=True)
        return own[:STAMPED_SETS]

    def stamp(self) -> str | None:
        """Return what keys begin with; None while no epoch is known."""
        for one in self.own_sets():
            generation = (one.region, one.generation)
            # A set that most holders have not heard of yet would have no
            # votes to give: the one before serves until then.
            if self.heard_age_s(generation) <= STAMP_LIMIT_S:
                return make_stamp(*generation, self.links.epochs[generation])
        return None

    def heard_age_s(self, generation: tuple[str, int]) -> float:
        """Return the seconds since a majority told its epoch."""
        heard_s = self.links.heard_s.get(generation, float('-inf'))
        return self.links.timer.now() - heard_s

    def poll_epoch(self) -> None:
        """Hear the epochs that are not known or not known any more."""
        for one in self.own_sets():
            generation = (one.region, one.generation)
            if self.heard_age_s(generation) < EPOCH_POLL_S:
                return
            self.background_tasks.run(self.hear_epoch(one))

    async def hear_epoch(self, holder_set: HolderSet) -> None:
        """Ask every holder for its epoch; a majority makes it known."""
        generation = (holder_set.region, holder_set.generation)
        epochs = await asyncio.gather(
            *(self.hear_holder(generation, name) for name in holder_set.names),
        )
        heard = [epoch for epoch in epochs if epoch is not None]
        if len(heard) >= majority(len(holder_set.names)):
            self.links.heard_s[generation] = self.links.timer.now()

    async def hear_holder(
        self,
        generation: tuple[str, int],
        name: str,
    ) -> int | None:
        """Return one holder's epoch, if it answers."""
        if name == self.settings.name:
            holder = self.links.own.table.holders.get(generation)
            if holder is None or holder.recovering:
                return None
            self.links.learn(generation, holder.epoch)
            return holder.epoch
        call = ttypes.HolderCall(
            *generation,
            epoch=self.links.epochs.get(generation, 0),
        )
        reply = await self.links.call(name, MessageKind.claim_epoch, call)
        if reply is None:
            return None
        try:
            wire = decode(ttypes.HolderReply, reply)
            standing = standing_from_wire(wire.standing)
        except FrameError:
            return None
        if standing is None:
            return None
        self.links.learn(generation, standing.epoch)
        return standing.epoch
