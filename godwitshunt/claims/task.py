"""Task that obtains the holders' grant before a non-idempotent call runs."""

import asyncio
import secrets
from typing import Self

from result import Err, Ok, Result

from godwitshunt.claims.claim_driver import ClaimDriver, HolderClient
from godwitshunt.claims.gen.wire import ttypes
from godwitshunt.claims.holder_status import majority
from godwitshunt.claims.holder_task import ClaimHolderTask
from godwitshunt.claims.keys import ClaimKey, parse_key
from godwitshunt.claims.messages import (
    ClaimOutcome,
    Granted,
    KeyExpired,
    NoMajority,
    RunUnknown,
    StoredAnswer,
)
from godwitshunt.claims.stamps import KeyStampSource
from godwitshunt.claims.verdicts import Attempt, Finish, Release, Verdict
from godwitshunt.configuration.revision import HolderSet, Revision
from godwitshunt.exceptions import FrameError
from godwitshunt.membership.background_tasks import BackgroundTasks
from godwitshunt.peer import MessageKind, PeerLinks, decode, encode
from godwitshunt.settings import NodeSettings
from godwitshunt.telemetry import Metrics
from godwitshunt.timer import Timer

NOTIFY_TIMEOUT_S = 1.0
NOTIFY_ATTEMPTS = 3
NOTIFY_RETRY_PAUSE_S = 0.2
SESSION_BYTES = 8


class ClaimsTask:
    """Claims keys for calls of this VM and votes on claims of other VMs.

    Parameters
    ----------
    settings : NodeSettings
        The VM's name, region and data folder.
    session : str
        Random id of this process. Heartbeats report it, so that control can
        list it in new holder sets.
    """

    def __init__(
        self,
        settings: NodeSettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.timer = timer
        self.metrics = metrics
        self.session = secrets.token_hex(SESSION_BYTES)
        self.holder = ClaimHolderTask.from_config(
            settings.name,
            self.session,
            settings.data_folder,
            links,
            timer,
            metrics,
        )
        self.holder_client = HolderClient(links, self.holder, timer, metrics)
        self.holder_sets: dict[tuple[str, int], HolderSet] = {}
        self.stamp_source = KeyStampSource(settings, self.holder_client)
        self.granted: dict[str, Attempt] = {}
        self.active_drivers: list[ClaimDriver] = []
        # Keys whose run result or release is being sent to the holders.
        self.settling_keys: set[str] = set()
        self.background_tasks = BackgroundTasks()

    @classmethod
    def from_config(
        cls,
        settings: NodeSettings,
        links: PeerLinks,
        timer: Timer,
        metrics: Metrics,
    ) -> Self:
        """Create the task of an entry VM or control VM."""
        return cls(settings, links, timer, metrics)

    async def start(self) -> None:
        """Start to vote and to track the epoch of this VM's region."""
        await self.holder.start()
        self.holder_client.links.subscribe(
            MessageKind.claim_running,
            self.answer_running,
        )
        self.stamp_source.start()

    async def close(self) -> None:
        """Stop voting; callers withdraw their own claims in progress."""
        await self.stamp_source.close()
        await self.background_tasks.close()
        await self.holder_client.background_tasks.close()
        await self.holder.close()

    def apply_revision(self, revision: Revision) -> None:
        """Apply the committed holder sets."""
        self.holder_sets = {
            (holder_set.region, holder_set.generation): holder_set
            for holder_set in revision.holders
        }
        self.holder_client.addresses = {vm.name: vm.peer for vm in revision.vms}
        self.holder.apply_revision(revision)
        self.stamp_source.apply_holder_sets(revision.holders)

    def is_recovering(self) -> bool:
        """Return whether this VM abstains in its region's newest set.

        If this persists, too few holders still have their votes for any to
        recover; control then commits a new set with the current sessions.
        """
        recovering = self.holder.table.recovering_generations()
        return self.stamp_source.newest_generation() in recovering

    def stamp(self) -> str | None:
        """Return the current key stamp, or None while no epoch is known."""
        return self.stamp_source.stamp()

    async def claim(
        self,
        key: str,
        request_digest: bytes,
        timeout_s: float,
    ) -> ClaimOutcome:
        """Ask the key's holders for permission to run a call.

        Parameters
        ----------
        key : str
            The caller's ``Idempotency-Key``.
        request_digest : bytes
            Digest of the request, equal for resends; at most 32 bytes.
        timeout_s : float
            Seconds to wait for holders or for a competing attempt.

        Returns
        -------
        ClaimOutcome
            Only `Granted` permits the call to run. The caller must then
            call `finish`, `finish_unknown` or `release`.
        """
        lookup = self.find_holder_set(key)
        if isinstance(lookup, Err):
            return lookup.err_value
        parsed, holder_set = lookup.ok_value
        driver = ClaimDriver(
            client=self.holder_client,
            vm=self.settings.name,
            key=parsed,
            request_digest=request_digest,
            holders=holder_set.names,
            deadline_s=self.timer.now() + timeout_s,
            withdraw=self.withdraw,
        )
        started_s = self.timer.now()
        self.active_drivers.append(driver)
        try:
            outcome = await driver.run()
        finally:
            self.active_drivers.remove(driver)
        if isinstance(outcome, Granted):
            self.granted[key] = driver.attempt
        elapsed_s = self.timer.now() - started_s
        name = type(outcome).__name__
        self.metrics.observe('claim_seconds', elapsed_s, outcome=name)
        return outcome

    async def answer_running(self, sender: str, body: bytes) -> bytes:
        """Answer a competing VM that asks whether a key's call may run here."""
        key = decode(ttypes.RunningCall, body).key
        if not key:
            raise FrameError('RunningCall: no key')
        return encode(ttypes.RunningReply(running=self.may_be_running(key)))

    def may_be_running(self, key: str) -> bool:
        """Return whether an attempt of this VM runs or may still run.

        A claim that only waits for another VM's attempt does not count.
        """
        collecting_votes = any(
            driver.key.text == key and driver.attempt is not None
            for driver in self.active_drivers
        )
        return (
            collecting_votes or key in self.granted or key in self.settling_keys
        )

    def find_holder_set(
        self,
        key: str,
    ) -> Result[tuple[ClaimKey, HolderSet], ClaimOutcome]:
        """Return the parsed key and its holder set, or why there is none."""
        parsed = parse_key(key)
        if isinstance(parsed, Err):
            return parsed
        claim_key: ClaimKey = parsed.ok_value
        holder_set = self.holder_sets.get(
            (claim_key.region, claim_key.generation)
        )
        if holder_set is not None:
            return Ok((claim_key, holder_set))
        known = [
            generation
            for region, generation in self.holder_sets
            if region == claim_key.region
        ]
        if known and claim_key.generation < min(known):
            return Err(KeyExpired())
        # This VM does not know the region or the holder set yet; another VM
        # may have run the call.
        return Err(NoMajority(0, 1))

    async def finish(self, key: str, answer: StoredAnswer) -> None:
        """Store a call's complete answer for resends of its key."""
        await self.report_run_result(key, answer)

    async def finish_unknown(self, key: str, reason: str) -> None:
        """Record that a call may have run and that no answer is stored."""
        await self.report_run_result(key, RunUnknown(reason))

    async def report_run_result(
        self, key: str, run_result: StoredAnswer | RunUnknown
    ) -> None:
        """Report the run result of a granted attempt to the holders."""
        attempt = self.granted.pop(key, None)
        if attempt is not None:
            await self.settle(key, Finish(attempt, run_result))

    async def release(self, key: str) -> None:
        """Release a granted claim whose call provably did not run.

        The only such proof is that no connection was ever established.
        """
        attempt = self.granted.pop(key, None)
        if attempt is not None:
            await self.settle(key, Release(attempt))

    async def settle(self, key: str, request: Finish | Release) -> None:
        """Notify the holders; the key counts as running here until then."""
        self.settling_keys.add(key)
        try:
            await self.notify_holders(request)
        finally:
            self.settling_keys.discard(key)

    def withdraw(self, attempt: Attempt) -> None:
        """Release an attempt that will not run, in the background."""
        self.background_tasks.run(self.notify_holders(Release(attempt)))

    async def notify_holders(self, request: Finish | Release) -> None:
        """Send to every holder; return once a majority of sends is complete.

        A send that failed after all its retries counts as complete, so that
        this always returns.
        """
        key = request.attempt.key
        holder_set = self.holder_sets.get((key.region, key.generation))
        if holder_set is None:
            return
        completed = asyncio.Semaphore(0)
        names = holder_set.names
        for holder in names:
            self.background_tasks.run(
                self.notify_holder(holder, request, completed)
            )
        for _ in range(majority(len(names))):
            await completed.acquire()

    async def notify_holder(
        self,
        holder: str,
        request: Finish | Release,
        completed: asyncio.Semaphore,
    ) -> None:
        """Notify one holder, with retries if it does not answer."""
        for _ in range(NOTIFY_ATTEMPTS):
            answer = await self.holder_client.send_request(
                holder, request, NOTIFY_TIMEOUT_S
            )
            if answer is not None and answer.verdict is not Verdict.abstained:
                break
            await self.holder_client.sleep(NOTIFY_RETRY_PAUSE_S)
        else:
            self.metrics.count('claims_not_told_total')
        completed.release()
