"""The sheet that operators submit: customers, budgets, services and models."""

import hmac
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import sha256


class ServiceKind(StrEnum):
    """Kind of backend server that handles the requests of a service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclass(slots=True, frozen=True)
class Customer:
    """A customer.

    :param key_sha256: SHA-256 of its bearer key, hexadecimal
    :param priority: 0 is the highest priority
    :param weight: weight in fair queues
    :param services: services that it may use; the first is the default
    """

    name: str
    key_sha256: str
    priority: int
    weight: int
    services: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Budget:
    """A prepaid budget.

    :param paid: tokens paid for since the creation of the budget
    """

    customer: str
    name: str
    paid: int

    @property
    def row_key(self) -> str:
        """Key of this budget's row in the table service."""
        return budget_key(self.customer, self.name)


@dataclass(slots=True, frozen=True)
class Service:
    """A service that customers call.

    :param idempotent: whether a call may be executed more than once
    :param models: allowed model versions, the first is the default; empty for a plain service
    :param deadline: time limit of a call in seconds
    :param price: tokens billed for a call of a plain service
    """

    name: str
    kind: ServiceKind
    idempotent: bool
    models: tuple[str, ...]
    deadline: float
    price: int


@dataclass(slots=True, frozen=True)
class Model:
    """A model version to be loaded.

    :param adapter: adapter to load with it, empty for none
    :param engines: number of backend servers that should load it
    :param role: role of those backend servers
    """

    name: str
    version: str
    adapter: str
    engines: int
    role: str

    @property
    def label(self) -> str:
        """``name@version``, the form in which services list a model."""
        return f"{self.name}@{self.version}"


@dataclass(slots=True, frozen=True)
class Sheet:
    """A complete sheet without findings."""

    customers: dict[str, Customer] = field(default_factory=dict)
    budgets: dict[str, Budget] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)

    def customer_by_key(self, bearer_key: str) -> Customer | None:
        """Return the customer with this bearer key, ``None`` if there is none."""
        digest = sha256(bearer_key.encode()).hexdigest()
        matching = None
        for customer in self.customers.values():
            if hmac.compare_digest(customer.key_sha256, digest):
                matching = customer
        return matching

    def default_budget(self, customer: str) -> Budget | None:
        """Return the customer's first budget in the sheet."""
        for budget in self.budgets.values():
            if budget.customer == customer:
                return budget
        return None


def budget_key(customer: str, budget: str) -> str:
    """Return the key that identifies a budget in the whole fleet."""
    return f"{customer}/{budget}"


@dataclass(slots=True, frozen=True)
class SheetChange:
    """One difference between two sheets."""

    section: str
    name: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"{self.section} {self.name}: {self.before or '(none)'} -> {self.after or '(none)'}"


def diff_sheets(old: Sheet, new: Sheet) -> tuple[SheetChange, ...]:
    """List the differences between two sheets, by section and name."""
    changes: list[SheetChange] = []
    for section in ("customers", "budgets", "services", "models"):
        before, after = getattr(old, section), getattr(new, section)
        for key in sorted(before.keys() | after.keys()):
            if before.get(key) != after.get(key):
                changes.append(
                    SheetChange(
                        section,
                        key,
                        _format_record(before.get(key)),
                        _format_record(after.get(key)),
                    )
                )
    return tuple(changes)


def _format_record(record: Customer | Budget | Service | Model | None) -> str:
    if record is None:
        return ""
    shown_fields = (item for item in record.__slots__ if item not in ("name", "key_sha256"))
    return " ".join(f"{item}={_format_value(getattr(record, item))}" for item in shown_fields)


def _format_value(value: object) -> str:
    if isinstance(value, tuple):
        return "+".join(value) or "-"
    return str(value) or "-"
