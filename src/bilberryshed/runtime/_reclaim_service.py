"""Reclamation of grants of routers that are gone; one router at a time owns this task."""

from returns.result import Failure

from bilberryshed.coordination import CloseGrant, MembershipSnapshot, Reclaim, boot_of_grant
from bilberryshed.protocol import Revoke, RevokeAck
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._funding_service import FundingService
from bilberryshed.runtime._ledger_service import LedgerService
from bilberryshed.runtime._results import scan_all
from bilberryshed.state import GRANTS, GrantRow, Vm
from bilberryshed.transport import Link, logger

TASK_NAME = "reclaim"


class ReclaimService:
    """Runs :class:`Reclaim` and handles revocations by other routers."""

    def __init__(
        self, context: RouterContext, funding: FundingService, ledger: LedgerService
    ) -> None:
        self.context = context
        self.funding = funding
        self.ledger = ledger
        self.reclaim = Reclaim()
        self.revoked_boots: set[str] = set()
        self.listed_vms: tuple[Vm, ...] | None = None
        self.is_running = False

    def start(self) -> None:
        """Start the periodic reclamation passes."""
        self.context.timers.subscribe(self.context.settings.reclaim_interval, self._on_tick)

    def _on_tick(self, now: float) -> None:
        is_owner = self.context.members.owns_task(TASK_NAME)
        if not is_owner:
            self.reclaim.gone_since.clear()
        if (
            is_owner
            and not self.is_running
            and self.listed_vms is not None
            and not self.context.draining
        ):
            self.context.spawn(self._run_pass())

    async def _run_pass(self) -> None:
        self.is_running = True
        try:
            await self._reclaim()
        finally:
            self.is_running = False

    async def _reclaim(self) -> None:
        rows = await scan_all(self.context.tables, GRANTS)
        if isinstance(rows, Failure) or not await self._refresh_list():
            self.reclaim.gone_since.clear()
            return
        grants = {row.ref.key: GrantRow.from_value(row.value) for row in rows.unwrap()}
        snapshot, time = self._membership_snapshot(), self.context.timers.responsive_time()
        for boot in self.reclaim.revoke_gone(time, grants, snapshot):
            logger().warning("boot_revoked", boot=boot)
        if not self.reclaim.acks:
            return
        self._revoke(self.reclaim.revoked)
        if self.reclaim.is_complete(snapshot):
            await self._close_grants(grants)
        else:
            missing = ",".join(self.reclaim.missing_acks(snapshot))
            logger().info("reclaim_waiting", boots=len(self.reclaim.acks), missing=missing)

    async def _refresh_list(self) -> bool:
        """Read the VM list anew, so that it is not older than the grants; returns whether it is."""
        vms = await self.context.vm_list.vms()
        if isinstance(vms, Failure):
            return False
        self.listed_vms = vms.unwrap()
        return True

    def _revoke(self, boots: tuple[str, ...]) -> None:
        """Request the revocation from all linked processes, and apply it to this router."""
        links = (*self.context.agent_links.values(), *self.context.peer_links.values())
        for link in links:
            link.send(Revoke(boots))
        self.reject_boots(boots)
        own = self._settled_boots(boots)
        self.reclaim.acknowledge(self.context.settings.name, self.context.boot, own)

    async def _close_grants(self, grants: dict[str, GrantRow]) -> None:
        records = await self.ledger.all_records()
        if records is None:
            return
        for to_close in self.reclaim.grants_to_close(grants, records):
            close = CloseGrant(to_close.grant, to_close.budget, to_close.amount, to_close.settled)
            self.funding.worker.submit(close, lambda moved, store_responded: None)
            self.context.metrics.count("grants_reclaimed")
            logger().info(
                "grant_reclaimed",
                grant=to_close.grant,
                budget=to_close.budget,
                returned=to_close.amount - to_close.settled,
            )

    def _membership_snapshot(self) -> MembershipSnapshot:
        members = self.context.members.by_name.values()
        boots = {member.vm.name: member.boot for member in members if member.linked}
        boots[self.context.settings.name] = self.context.boot
        return MembershipSnapshot(self.listed_vms or (), boots)

    # Revocations by other routers -----------------------------------------------------------

    def reject_boots(self, boots: tuple[str, ...]) -> None:
        """Reject revoked boot ids: close their links and accept no new ones."""
        self.revoked_boots.update(boots)
        for link in tuple(self.context.peer_links.values()):
            if link.peer.boot in self.revoked_boots:
                link.abort()

    def on_revoke(self, link: Link, revoke: Revoke) -> None:
        """Reject boot ids, and acknowledge those that have no unsettled work at this router."""
        if self.context.boot in revoke.boots:
            logger().error("own_boot_revoked")
            return
        self.reject_boots(revoke.boots)
        link.send(RevokeAck(self._settled_boots(revoke.boots)))

    def on_ack(self, link: Link, ack: RevokeAck) -> None:
        """Record an acknowledgement."""
        self.reclaim.acknowledge(link.peer.name, link.peer.boot, ack.boots)

    def _settled_boots(self, boots: tuple[str, ...]) -> tuple[str, ...]:
        """Return the boot ids without unpersisted transfers or undelivered records here."""
        unsettled = {
            boot_of_grant(charge.grant)
            for record in self.ledger.undelivered()
            for charge in record.charges
        }
        for grant in self.context.grant_book.grants():
            if not grant.persisted:
                unsettled |= {boot_of_grant(grant.source), boot_of_grant(grant.id)}
        return tuple(boot for boot in boots if boot not in unsettled)
