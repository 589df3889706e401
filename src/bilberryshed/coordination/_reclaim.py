"""Reclaim of grants whose holder is gone, by acknowledgements and never by timeouts.

A boot id is revoked once its VM has been missing from the platform's list, or has run another boot
id, for a while: the list lags, and the loss of a link to an earlier boot id is noticed late. Every
process then refuses its requests, and acknowledges the revocation once everything that it ran for
the boot id, and every record that names its grants, is delivered. The grants are closed only when
every process of the fleet has acknowledged every revoked boot id; while any process cannot
acknowledge, they stay open.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bilberryshed.protocol import UsageRecord
from bilberryshed.state import GrantRow, Vm

# Responsive seconds for which a holder must count as gone before it is revoked: longer than the
# detection of a lost link (3 s) and a reading of the VM list (1 s) take together.
GONE_CONFIRM_TIME = 5.0


def vm_of_boot(boot: str) -> str:
    """Return the VM name that a boot id contains."""
    return boot.rpartition(".")[0]


def boot_of_grant(grant: str) -> str:
    """Return the boot id that issued a grant id or transfer id."""
    return grant.rpartition(".")[0]


@dataclass(slots=True, frozen=True)
class MembershipSnapshot:
    """Fleet membership as seen by the router that reclaims.

    :param listed: the platform's VM list
    :param boots: boot id by VM name of every connected process, including this router
    """

    listed: tuple[Vm, ...]
    boots: Mapping[str, str]

    @property
    def members(self) -> frozenset[str]:
        """VM names of all processes that must acknowledge."""
        live = {vm.name for vm in self.listed if vm.state != "gone"}
        return frozenset(live | set(self.boots))

    def is_gone(self, boot: str) -> bool:
        """Whether a process is gone, by the platform's list or by another boot id on its VM."""
        name = vm_of_boot(boot)
        running = self.boots.get(name)
        if running is not None:
            return running != boot
        return name not in {vm.name for vm in self.listed if vm.state != "gone"}


@dataclass(slots=True, frozen=True)
class GrantToClose:
    """A grant of a revoked boot id.

    :param settled: tokens that the ledger has billed to it
    """

    grant: str
    budget: str
    amount: int
    settled: int


@dataclass(slots=True)
class Reclaim:
    """Revocations in progress, as known to one router.

    :param gone_since: responsive time from which a holder has counted as gone
    :param acks: for each revoked boot id, the boot ids of the acknowledging processes by VM name
    """

    acks: dict[str, dict[str, str]] = field(default_factory=dict)
    gone_since: dict[str, float] = field(default_factory=dict)

    def revoke_gone(
        self, time: float, grants: Mapping[str, GrantRow], snapshot: MembershipSnapshot
    ) -> tuple[str, ...]:
        """Revoke the holders of open grants that are gone, and end revocations without open grants.

        :param time: responsive time
        :param snapshot: membership after the grants were read, as a holder may be younger
        :returns: boot ids that are newly revoked
        """
        holders = {row.holder for row in grants.values() if not row.left}
        gone = [h for h in holders if h not in self.acks and snapshot.is_gone(h)]
        self.gone_since = {h: self.gone_since.get(h, time) for h in gone}
        new = sorted(h for h in gone if time - self.gone_since[h] >= GONE_CONFIRM_TIME)
        for boot in new:
            self.acks[boot] = {}
        for boot in [boot for boot in self.acks if boot not in holders]:
            del self.acks[boot]
        return tuple(new)

    @property
    def revoked(self) -> tuple[str, ...]:
        """Boot ids whose revocation is to be acknowledged."""
        return tuple(sorted(self.acks))

    def acknowledge(self, name: str, boot: str, revoked: Iterable[str]) -> None:
        """Record a process's acknowledgement.

        :param name: VM name of the process
        :param boot: its boot id; after a restart the process must acknowledge again
        """
        for item in revoked:
            if item in self.acks:
                self.acks[item][name] = boot

    def missing_acks(self, snapshot: MembershipSnapshot) -> tuple[str, ...]:
        """Return the VM names whose acknowledgement of some revocation is missing."""
        return tuple(
            sorted(
                name
                for name in snapshot.members
                if any(not _is_current(acks, name, snapshot) for acks in self.acks.values())
            )
        )

    def is_complete(self, snapshot: MembershipSnapshot) -> bool:
        """Whether every process has acknowledged every revocation."""
        return bool(self.acks) and not self.missing_acks(snapshot)

    def grants_to_close(
        self, grants: Mapping[str, GrantRow], records: Iterable[UsageRecord]
    ) -> tuple[GrantToClose, ...]:
        """Return the grants to close once all acknowledgements are complete.

        Records on transferred parts that were never persisted refer to no row of their own. They
        are counted against the holder's rows of the same budget, so that the tokens that they used
        are not returned.

        :param records: all records of the ledger
        """
        rows = {g: row for g, row in grants.items() if row.holder in self.acks and not row.left}
        billed = dict.fromkeys(rows, 0)
        unattributed: dict[tuple[str, str], int] = {}
        for record in records:
            budget = f"{record.customer}/{record.budget}"
            for charge in record.charges:
                boot = boot_of_grant(charge.grant)
                if charge.grant in rows:
                    billed[charge.grant] += charge.tokens
                elif (
                    boot in self.acks and charge.grant not in grants and _is_transfer(charge.grant)
                ):
                    unattributed[boot, budget] = unattributed.get((boot, budget), 0) + charge.tokens
        grants_to_close = []
        for grant, row in sorted(rows.items()):
            remaining = max(0, row.amount - billed[grant])
            extra = min(remaining, unattributed.get((row.holder, row.budget), 0))
            if extra:
                unattributed[row.holder, row.budget] -= extra
            settled = min(row.amount, billed[grant] + extra)
            grants_to_close.append(GrantToClose(grant, row.budget, row.amount, settled))
        return tuple(grants_to_close)


def _is_current(acks: Mapping[str, str], name: str, snapshot: MembershipSnapshot) -> bool:
    """Whether a process has acknowledged and is still connected with the same boot id."""
    boot = acks.get(name)
    return boot is not None and snapshot.boots.get(name) == boot


def _is_transfer(grant: str) -> bool:
    return grant.rpartition(".")[2].startswith("t")
