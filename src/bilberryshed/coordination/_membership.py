"""Fleet membership from the platform's VM list, which lags, and from established connections."""

from dataclasses import dataclass, field

from bilberryshed.coordination._rendezvous import owner
from bilberryshed.protocol import Hello
from bilberryshed.state import Vm


@dataclass(slots=True)
class Member:
    """Another process of the fleet.

    :param boot: boot id from the handshake of its current connection, empty without one
    :param draining: whether it reported that it accepts no new work
    """

    vm: Vm
    boot: str = ""
    draining: bool = False

    @property
    def linked(self) -> bool:
        """Whether a connection to it is established."""
        return bool(self.boot)


@dataclass(slots=True, frozen=True)
class ListChange:
    """Change of the VM list: VMs to connect to and VMs that are gone."""

    added: tuple[Vm, ...] = ()
    gone: tuple[Vm, ...] = ()


@dataclass(slots=True)
class Members:
    """One router's view of the fleet's members.

    :param name: VM name of this router
    :param zone: its availability zone
    """

    name: str
    zone: str
    by_name: dict[str, Member] = field(default_factory=dict)

    def on_list(self, vms: tuple[Vm, ...]) -> ListChange:
        """Apply the platform's VM list.

        The list lags, so a VM that is missing from it counts as gone only without a connection.
        """
        listed = {vm.name: vm for vm in vms if vm.name != self.name and vm.state != "gone"}
        reported_gone = {vm.name for vm in vms if vm.state == "gone"}
        gone = tuple(
            member.vm
            for name, member in self.by_name.items()
            if name in reported_gone or (name not in listed and not member.linked)
        )
        for vm in gone:
            del self.by_name[vm.name]
        added = tuple(vm for vm in listed.values() if self._is_new(vm))
        for vm in listed.values():
            self.by_name.setdefault(vm.name, Member(vm)).vm = vm
        return ListChange(added, gone)

    def _is_new(self, vm: Vm) -> bool:
        existing = self.by_name.get(vm.name)
        return existing is None or existing.vm.link != vm.link

    def on_link_up(self, hello: Hello) -> None:
        """Record a new connection to a member, which the list may not contain yet."""
        vm = Vm(hello.name, hello.role, hello.zone, "", "live")
        member = self.by_name.setdefault(hello.name, Member(vm))
        member.boot = hello.boot
        member.draining = False

    def on_link_down(self, name: str) -> None:
        """Record that the connection to a member is closed."""
        if name in self.by_name:
            self.by_name[name].boot = ""

    def on_draining(self, name: str, draining: bool) -> None:
        """Record whether a member reports that it is draining."""
        if name in self.by_name:
            self.by_name[name].draining = draining

    def routers(self) -> tuple[str, ...]:
        """Return the connected routers other than this one."""
        return self._linked("router")

    def eligible_routers(self, zone: str | None = None) -> list[str]:
        """Return the routers that may own singleton tasks, including this one.

        :param zone: availability zone to which the result is limited, ``None`` for all
        """
        names = [
            name
            for name in self._linked("router")
            if not self.by_name[name].draining and zone in (None, self.by_name[name].vm.zone)
        ]
        return [*names, self.name]

    def zones(self) -> int:
        """Return the number of availability zones with a router."""
        return len({self.zone, *(self.by_name[name].vm.zone for name in self.routers())})

    def holder(self, budget: str) -> str | None:
        """Return the holder of a budget in this availability zone, ``None`` for this router."""
        chosen = owner(budget, self.eligible_routers(self.zone))
        return None if chosen == self.name else chosen

    def shard_writer(self, shard: int) -> str | None:
        """Return the router that writes a ledger shard, ``None`` for this router."""
        chosen = owner(f"ledger-shard-{shard}", self.eligible_routers())
        return None if chosen == self.name else chosen

    def owns_task(self, task: str, zone: str | None = None) -> bool:
        """Whether this router owns a singleton task.

        :param zone: availability zone of a task that has an owner in each zone
        """
        return owner(task, self.eligible_routers(zone)) == self.name

    def _linked(self, role: str) -> tuple[str, ...]:
        return tuple(n for n, m in self.by_name.items() if m.linked and m.vm.role == role)
