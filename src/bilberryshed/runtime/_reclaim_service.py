"""Reclaims grants of routers that are gone; one router at a time has the duty."""

from returns.result import Failure

from bilberryshed.coordination import CloseGrant, MembershipSnapshot, Reclaim, boot_of_grant
from bilberryshed.protocol import Revoke, RevokeAck
from bilberryshed.runtime._context import RouterContext
from bilberryshed.runtime._funding_service import FundingService
from bilberryshed.runtime._ledger_service import LedgerService
from bilberryshed.runtime._results import scan_all
from bilberryshed.state import GRANTS, GrantRow, Vm
from bilberryshed.transport import Link, logger

DUTY = "reclaim"


class ReclaimService:
    """Drives :class:`Reclaim` and answers revocations of others."""

    def __init__(
        self, context: RouterContext, funding: FundingService, ledger: LedgerService
    ) -> None:
        self.context = context
        self.funding = funding
        self.ledger = ledger
        self.reclaim = Reclaim()
        self.refused: set[str] = set()
        self.listed: tuple[Vm, ...] | None = None
        self.working = False

    def start(self) -> None:
        """Subscribe to timers."""
        self.context.timers.subscribe(self.context.settings.reclaim_interval, self._on_tick)

    def _on_tick(self, now: float) -> None:
        on_duty = self.context.members.owns_task(DUTY)
        if on_duty and not self.working and self.listed is not None and not self.context.draining:
            self.context.spawn(self._work())

    async def _work(self) -> None:
        self.working = True
        try:
            await self._reclaim()
        finally:
            self.working = False

    async def _reclaim(self) -> None:
        rows = await scan_all(self.context.tables, GRANTS)
        if isinstance(rows, Failure):
            return
        grants = {row.ref.key: GrantRow.from_value(row.value) for row in rows.unwrap()}
        present = self._present()
        for boot in self.reclaim.revoke_gone(grants, present):
            logger().warning("boot_revoked", boot=boot)
        if not self.reclaim.acks:
            return
        self._revoke(self.reclaim.revoked)
        if self.reclaim.is_complete(present):
            await self._close(grants)
        else:
            missing = ",".join(self.reclaim.missing(present))
            logger().info("reclaim_waits", boots=len(self.reclaim.acks), missing=missing)

    def _revoke(self, boots: tuple[str, ...]) -> None:
        """Ask everybody, this router included, to refuse and acknowledge."""
        links = (*self.context.agent_links.values(), *self.context.peer_links.values())
        for link in links:
            link.send(Revoke(boots))
        self.refuse(boots)
        own = self._acknowledged(boots)
        self.reclaim.acknowledge(self.context.settings.name, self.context.boot, own)

    async def _close(self, grants: dict[str, GrantRow]) -> None:
        records = await self.ledger.all_records()
        if records is None:
            return
        for closing in self.reclaim.grants_to_close(grants, records):
            close = CloseGrant(closing.grant, closing.budget, closing.amount, closing.settled)
            self.funding.worker.submit(close, lambda moved, reached: None)
            self.context.metrics.count("grants_reclaimed")
            logger().info(
                "grant_reclaimed",
                grant=closing.grant,
                budget=closing.budget,
                returned=closing.amount - closing.settled,
            )

    def _present(self) -> MembershipSnapshot:
        members = self.context.members.by_name.values()
        boots = {member.vm.name: member.boot for member in members if member.linked}
        boots[self.context.settings.name] = self.context.boot
        return MembershipSnapshot(self.listed or (), boots)

    # Revocations of others ------------------------------------------------------------------

    def refuse(self, boots: tuple[str, ...]) -> None:
        """Take nothing more from revoked boot ids."""
        self.refused.update(boots)
        for link in tuple(self.context.peer_links.values()):
            if link.peer.boot in self.refused:
                link.abort()

    def on_revoke(self, link: Link, revoke: Revoke) -> None:
        """Refuse boot ids and say which of them nothing is left of here."""
        if self.context.boot in revoke.boots:
            logger().error("own_boot_revoked")
            return
        self.refuse(revoke.boots)
        link.send(RevokeAck(self._acknowledged(revoke.boots)))

    def on_ack(self, link: Link, ack: RevokeAck) -> None:
        """Note an acknowledgement."""
        self.reclaim.acknowledge(link.peer.name, link.peer.boot, ack.boots)

    def _acknowledged(self, boots: tuple[str, ...]) -> tuple[str, ...]:
        """Return boot ids of which this router has neither parts nor undelivered records."""
        unfinished = {
            boot_of_grant(charge.grant)
            for record in self.ledger.undelivered()
            for charge in record.charges
        }
        for grant in self.context.book.grants():
            if not grant.persisted:
                unfinished |= {boot_of_grant(grant.source), boot_of_grant(grant.id)}
        return tuple(boot for boot in boots if boot not in unfinished)
