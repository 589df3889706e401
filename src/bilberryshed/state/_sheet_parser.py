"""Parser of the CSV sheet.

The file has four sections. A row whose first cell is ``[section]`` starts a section; the next row
is its header; the rows up to the next section are records. Empty rows are skipped.
Every column has a registered parser; findings state the row and the column.
"""

import csv
import io
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success

from bilberryshed.protocol import Finding
from bilberryshed.state._sheet import Budget, Customer, Model, Service, ServiceKind, Sheet

MAX_TOKENS_PAID = 10**15
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
LABEL_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}@[A-Za-z0-9][A-Za-z0-9._-]{0,63}")

ColumnParser = Callable[[str], Any]
_column_parsers: dict[str, dict[str, ColumnParser]] = {}


def column(section: str, *names: str) -> Callable[[ColumnParser], ColumnParser]:
    """Register a parser for columns of a section; the header may have any column order."""

    def register(parser: ColumnParser) -> ColumnParser:
        for name in names:
            _column_parsers.setdefault(section, {})[name] = parser
        return parser

    return register


@column("customers", "customer")
@column("budgets", "customer", "budget")
@column("services", "service")
@column("models", "model", "version")
def _parse_name(text: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(f"{text!r} is not a name (letters, digits, '.', '_', '-'; at most 64)")
    return text


@column("customers", "key_sha256")
def _parse_digest(text: str) -> str:
    if not re.fullmatch(r"[0-9a-f]{64}", text):
        raise ValueError("is not a SHA-256 digest of 64 lower-case hexadecimal digits")
    return text


@column("customers", "priority")
def _parse_priority(text: str) -> int:
    return _parse_integer(text, 0, 9)


@column("customers", "weight")
def _parse_weight(text: str) -> int:
    return _parse_integer(text, 1, 1000)


@column("customers", "services")
def _parse_names(text: str) -> tuple[str, ...]:
    return tuple(_parse_name(part) for part in text.split())


@column("budgets", "paid")
def _parse_paid(text: str) -> int:
    return _parse_integer(text, 0, MAX_TOKENS_PAID)


@column("services", "kind")
def _parse_kind(text: str) -> ServiceKind:
    if text not in list(ServiceKind):
        raise ValueError(f"{text!r} is neither 'model' nor 'plain'")
    return ServiceKind(text)


@column("services", "idempotent")
def _parse_yes_no(text: str) -> bool:
    if text not in ("yes", "no"):
        raise ValueError(f"{text!r} is neither 'yes' nor 'no'")
    return text == "yes"


@column("services", "models")
def _parse_labels(text: str) -> tuple[str, ...]:
    for part in text.split():
        if not LABEL_PATTERN.fullmatch(part):
            raise ValueError(f"{part!r} is not of the form model@version")
    return tuple(text.split())


@column("services", "deadline_ms")
def _parse_deadline(text: str) -> float:
    return _parse_integer(text, 1, 3_600_000) / 1000


@column("services", "price")
def _parse_price(text: str) -> int:
    return _parse_integer(text, 0, 10**9)


@column("models", "adapter")
def _parse_optional_name(text: str) -> str:
    return _parse_name(text) if text else ""


@column("models", "engines")
def _parse_engines(text: str) -> int:
    return _parse_integer(text, 0, 100_000)


@column("models", "role")
def _parse_role(text: str) -> str:
    if text not in ("mixed", "prefill", "decode"):
        raise ValueError(f"{text!r} is none of 'mixed', 'prefill', 'decode'")
    return text


def _parse_integer(text: str, minimum: int, maximum: int) -> int:
    if not re.fullmatch(r"-?[0-9]{1,18}", text):
        raise ValueError(f"{text!r} is not a whole number")
    value = int(text)
    if not minimum <= value <= maximum:
        raise ValueError(f"{value} is not between {minimum} and {maximum}")
    return value


@dataclass(slots=True)
class _Row:
    number: int
    columns: tuple[str, ...]
    values: dict[str, Any]


@dataclass(slots=True)
class _SheetReader:
    """Collects the rows of each section and all findings."""

    source: str
    findings: list[Finding] = field(default_factory=list)
    rows: dict[str, list[_Row]] = field(default_factory=dict)

    def report(self, row: int, column_name: str, text: str) -> None:
        location = f"row {row}" + (f", column {column_name}" if column_name else "")
        self.findings.append(Finding(self.source, location, text))

    def read(self, cells_by_row: list[list[str]]) -> None:
        section, header = "", None
        for number, cells in enumerate(cells_by_row, start=1):
            cells = [cell.strip() for cell in cells]
            if not any(cells):
                continue
            if cells[0].startswith("["):
                section, header = self._open_section(number, cells), None
            elif header is None and section:
                header = self._check_header(number, section, cells)
            elif not section:
                if not self.findings:
                    self.report(number, "", f"{cells[0]!r} appears before any [section]")
            elif header:
                self._read_row(number, section, header, cells)

    def _open_section(self, number: int, cells: list[str]) -> str:
        section = cells[0].strip("[]")
        if section not in _column_parsers:
            self.report(number, "", f"unknown section {cells[0]!r}")
            return ""
        if section in self.rows:
            self.report(number, "", f"section [{section}] appears twice")
        self.rows.setdefault(section, [])
        return section

    def _check_header(self, number: int, section: str, cells: list[str]) -> tuple[str, ...]:
        expected = tuple(_column_parsers[section])
        present = tuple(cell for cell in cells if cell)
        if sorted(present) == sorted(expected):
            return present
        missing = ", ".join(name for name in expected if name not in present)
        unknown = ", ".join(name for name in present if name not in expected)
        text = f"header of [{section}] is wrong: missing {missing or 'none'}"
        self.report(number, "", f"{text}; unknown {unknown or 'none'}")
        return ()

    def _read_row(
        self, number: int, section: str, header: tuple[str, ...], cells: list[str]
    ) -> None:
        width = len(header)
        if any(cells[width:]):
            self.report(number, "", f"has more than {width} cells")
            return
        cells = (cells + [""] * width)[:width]
        values: dict[str, Any] = {}
        for name, text in zip(header, cells, strict=True):
            try:
                values[name] = _column_parsers[section][name](text)
            except ValueError as error:
                self.report(number, name, str(error))
        if len(values) == width:
            self.rows[section].append(_Row(number, header, values))


def parse_sheet(source: str, content: bytes) -> Result[Sheet, tuple[Finding, ...]]:
    """Parse and validate a sheet.

    :param source: file name stated in findings
    :param content: bytes of the file, UTF-8 with or without a byte order mark
    :returns: the sheet, or all findings
    """
    try:
        text = content.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        row = content[: error.start].count(b"\n") + 1
        return Failure((Finding(source, f"row {row}", f"byte {error.start} is not UTF-8"),))
    reader = _SheetReader(source)
    try:
        reader.read(list(csv.reader(io.StringIO(text, newline=""), strict=True)))
    except csv.Error as error:
        return Failure((Finding(source, "file", f"is not CSV: {error}"),))
    sheet = _build_sheet(reader)
    _check_references(reader, sheet)
    if reader.findings:
        return Failure(tuple(reader.findings))
    return Success(sheet)


def _build_sheet(reader: _SheetReader) -> Sheet:
    for section in _column_parsers:
        if section not in reader.rows:
            reader.findings.append(Finding(reader.source, "file", f"has no [{section}] section"))
    sheet = Sheet()
    for row in reader.rows.get("customers", []):
        parsed = row.values
        customer = Customer(
            parsed["customer"],
            parsed["key_sha256"],
            parsed["priority"],
            parsed["weight"],
            parsed["services"],
        )
        _add_unique(reader, row, sheet.customers, customer.name, customer, "customer")
    for row in reader.rows.get("budgets", []):
        parsed = row.values
        budget = Budget(parsed["customer"], parsed["budget"], parsed["paid"])
        _add_unique(reader, row, sheet.budgets, budget.row_key, budget, "budget")
    for row in reader.rows.get("services", []):
        parsed = row.values
        service = Service(
            parsed["service"],
            parsed["kind"],
            parsed["idempotent"],
            parsed["models"],
            parsed["deadline_ms"],
            parsed["price"],
        )
        _add_unique(reader, row, sheet.services, service.name, service, "service")
    for row in reader.rows.get("models", []):
        parsed = row.values
        model = Model(
            parsed["model"],
            parsed["version"],
            parsed["adapter"],
            parsed["engines"],
            parsed["role"],
        )
        _add_unique(reader, row, sheet.models, model.label, model, "model")
    return sheet


def _add_unique(
    reader: _SheetReader,
    row: _Row,
    records: dict[str, Any],
    key: str,
    record: Any,
    column_name: str,
) -> None:
    if key in records:
        reader.report(row.number, column_name, f"duplicate {column_name} {key!r}")
        return
    records[key] = record


def _check_references(reader: _SheetReader, sheet: Sheet) -> None:
    keys: dict[str, str] = {}
    for row in reader.rows.get("customers", []):
        digest, owner = row.values["key_sha256"], row.values["customer"]
        if keys.setdefault(digest, owner) != owner:
            reader.report(row.number, "key_sha256", f"is also the key of {keys[digest]!r}")
        for service in row.values["services"]:
            if service not in sheet.services:
                reader.report(row.number, "services", f"unknown service {service!r}")
    for row in reader.rows.get("budgets", []):
        if row.values["customer"] not in sheet.customers:
            reader.report(row.number, "customer", f"unknown customer {row.values['customer']!r}")
    for row in reader.rows.get("services", []):
        _check_service(reader, row, sheet)


def _check_service(reader: _SheetReader, row: _Row, sheet: Sheet) -> None:
    for label in row.values["models"]:
        if label not in sheet.models:
            reader.report(row.number, "models", f"unknown model {label!r}")
    is_model = row.values["kind"] is ServiceKind.MODEL
    if is_model and not row.values["models"]:
        reader.report(row.number, "models", "a model service needs at least one model")
    if not is_model and row.values["models"]:
        reader.report(row.number, "models", "a plain service has no models")
