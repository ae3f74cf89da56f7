"""A picker's part of organisations' limits, by what control VMs tell."""

from dataclasses import dataclass
from math import inf

from godwitshunt.manifest import Manifest
from godwitshunt.organisations import (
    AdmissionShare,
    LimitPool,
    fixed_shares,
    limits_of,
    usable_share,
)
from godwitshunt.organisations.limits import PEER_TIMEOUT_S
from godwitshunt.registry.control_tables import ControlTables
from godwitshunt.registry.gen.wire import ttypes
from godwitshunt.registry.wire import admitted_from_wire

# Counts of a process that was not heard for so long are forgotten.
KEPT_S = 120.0


@dataclass
class PickerLimits:
    """Keeps a picker's pool in step with the other pickers'.

    Parameters
    ----------
    pool : LimitPool
        The picker's counts.
    tables : ControlTables
        What other control VMs tell.
    allowance : float
        Units beyond a limit that operators bear in a window.
    """

    pool: LimitPool
    tables: ControlTables
    allowance: float = 0.0
    is_configured: bool = False

    def configure(self, manifest: Manifest, now_s: float) -> None:
        """Take the limits of a newer revision."""
        starts = not self.is_configured
        self.pool.configure(limits_of(manifest), now_s, starts=starts)
        self.is_configured = True

    def pickers(self) -> dict[str, list[str]]:
        """Return the control VMs of each region that are known."""
        regions = set(self.tables.location.regions.values())
        regions.add(self.tables.location.region)
        found = {
            region: self.tables.controls_in_region(region) for region in regions
        }
        here = found[self.tables.location.region]
        if self.tables.own_name not in here:
            here.append(self.tables.own_name)
        return found

    def standing(self, now_s: float) -> AdmissionShare:
        """Return which part of limits may be admitted here now.

        What others have admitted is taken first.
        """
        if not self.pool.buckets:
            return AdmissionShare()
        pickers = self.pickers()
        shares = fixed_shares(pickers)
        heard = {self.tables.own_name: inf}
        for control, table in self.tables.merged.tables.items():
            if control == self.tables.own_name or not table.source:
                continue
            self.pool.apply_peer_totals(
                f'{control} {table.source}',
                table.admitted,
                table.loads_asof_s,
                shares.get(control, 0.0),
            )
            if now_s - table.loads_asof_s <= PEER_TIMEOUT_S:
                heard[control] = table.loads_asof_s
        known = {str(one) for one in self.tables.location.others()}
        known.update(heard)
        own = self.tables.own_name
        return AdmissionShare(
            part=usable_share(own, pickers, known, heard),
            share=shares[own],
            peers_seen_s=min(heard.values()),
            allowance=self.allowance,
        )

    def hear_vm(
        self,
        session: str,
        told: list[ttypes.AdmittedUnits] | None,
        now_s: float,
    ) -> None:
        """Take what an entry VM has admitted by itself."""
        if told and self.pool.buckets:
            self.pool.apply_vm_totals(session, admitted_from_wire(told), now_s)

    def forget(self, now_s: float) -> None:
        """Drop the counts of processes that are long gone."""
        self.pool.forget(now_s - KEPT_S)
