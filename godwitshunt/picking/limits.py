"""A picker's share of the organisations' limits, from control VMs' tables."""

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

# Totals of a process without a report for this long are removed.
RETENTION_S = 120.0


@dataclass
class PickerLimits:
    """Synchronises a picker's limit pool with the other pickers.

    Parameters
    ----------
    pool : LimitPool
        Units admitted by this picker.
    tables : ControlTables
        Tables of the other control VMs.
    allowance : float
        Units beyond a limit that operators tolerate per window.
    """

    pool: LimitPool
    tables: ControlTables
    allowance: float = 0.0
    is_configured: bool = False

    def configure(self, manifest: Manifest, now_s: float) -> None:
        """Apply the limits of a newer revision."""
        starts = not self.is_configured
        self.pool.configure(limits_of(manifest), now_s, starts=starts)
        self.is_configured = True

    def pickers(self) -> dict[str, list[str]]:
        """Return the known control VMs of each region."""
        regions = set(self.tables.location.regions.values())
        regions.add(self.tables.location.region)
        by_region = {
            region: self.tables.controls_in_region(region) for region in regions
        }
        local = by_region[self.tables.location.region]
        if self.tables.own_name not in local:
            local.append(self.tables.own_name)
        return by_region

    def admission_share(self, now_s: float) -> AdmissionShare:
        """Return the share of the limits that may be admitted here now.

        Totals of the other pickers are applied first.
        """
        if not self.pool.buckets:
            return AdmissionShare()
        pickers = self.pickers()
        shares = fixed_shares(pickers)
        reachable = {self.tables.own_name: inf}
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
                reachable[control] = table.loads_asof_s
        known = {str(address) for address in self.tables.location.others()}
        known.update(reachable)
        own = self.tables.own_name
        return AdmissionShare(
            part=usable_share(own, pickers, known, reachable),
            share=shares[own],
            peers_seen_s=min(reachable.values()),
            allowance=self.allowance,
        )

    def apply_vm_report(
        self,
        session: str,
        structs: list[ttypes.AdmittedUnits] | None,
        now_s: float,
    ) -> None:
        """Apply the units that an entry VM has admitted without a picker."""
        if structs and self.pool.buckets:
            self.pool.apply_vm_totals(
                session, admitted_from_wire(structs), now_s
            )

    def expire(self, now_s: float) -> None:
        """Remove the totals of processes that have stopped reporting."""
        self.pool.expire(now_s - RETENTION_S)
