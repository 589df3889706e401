"""INI settings of the long-running programs, validated as a whole at start.

A settings class declares its keys with :func:`setting`; :func:`load_settings` reads the file,
validates every key and reports all findings together.
"""

import configparser
import ipaddress
from collections.abc import Callable
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

from bilberryshed.protocol import Finding

SettingsT = TypeVar("SettingsT")

ROUTING_POLICIES = ("affinity", "two_choices", "least_connections", "round_robin", "random")


@dataclass(slots=True, frozen=True, order=True)
class Address:
    """IP address and port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``IP:PORT``.

        :raises ValueError: if the host is not an IP address or the port is out of range
        """
        host, _, port = text.strip().rpartition(":")
        ipaddress.ip_address(host.strip("[]"))
        if not 0 < int(port) < 65536:
            raise ValueError(f"port {port} is not between 1 and 65535")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_seconds(text: str) -> float:
    """Parse a positive, finite number, such as a duration in seconds."""
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError(f"{text} is not a positive number of seconds")
    return value


def parse_ratio(text: str) -> float:
    """Parse a finite number that is not negative, such as a share or a number of retries."""
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError(f"{text} is not a number from 0 up")
    return value


def parse_count(text: str) -> int:
    """Parse a positive whole number."""
    value = int(text)
    if value < 1:
        raise ValueError(f"{text} is not a positive whole number")
    return value


def parse_count_or_zero(text: str) -> int:
    """Parse a whole number that is not negative."""
    return 0 if text.strip() == "0" else parse_count(text)


def parse_share(text: str) -> float:
    """Parse a share, above 0 and below 1."""
    value = float(text)
    if not 0 < value < 1:
        raise ValueError(f"{text} is not a share between 0 and 1")
    return value


def parse_name(text: str) -> str:
    """Parse a name of letters, digits, dots, hyphens and underscores."""
    if not text or not all(c.isalnum() or c in ".-_" for c in text):
        raise ValueError(f"{text!r} is not a name of letters, digits, dots, hyphens, underscores")
    return text


def parse_optional_address(text: str) -> Address | None:
    """Parse ``IP:PORT``; ``None`` for an empty string."""
    return Address.parse(text) if text.strip() else None


def parse_optional_path(text: str) -> Path | None:
    """Parse a path; ``None`` for an empty string."""
    return Path(text) if text.strip() else None


def parse_backend_kind(text: str) -> str:
    """Parse the kind of a backend server."""
    if text not in ("engine", "service"):
        raise ValueError(f"{text!r} is neither engine nor service")
    return text


def parse_policy(text: str) -> str:
    """Parse the name of a routing policy."""
    if text not in ROUTING_POLICIES:
        raise ValueError(f"{text!r} is none of {', '.join(ROUTING_POLICIES)}")
    return text


def parse_optional_ratio(text: str) -> float | None:
    """Parse a finite number that is not negative, or return ``None`` for an empty text."""
    return parse_ratio(text) if text.strip() else None


def parse_boolean(text: str) -> bool:
    """Parse ``yes`` or ``no``."""
    if text not in ("yes", "no"):
        raise ValueError(f"{text!r} is neither yes nor no")
    return text == "yes"


def parse_pairs(text: str) -> dict[str, str]:
    """Parse ``key:value`` pairs, separated by commas."""
    pairs: dict[str, str] = {}
    for item in filter(None, (part.strip() for part in text.split(","))):
        key, separator, value = (part.strip() for part in item.partition(":"))
        if not (key and separator and value):
            raise ValueError(f"{item!r} is no key:value pair")
        if pairs.setdefault(key, value) != value:
            raise ValueError(f"{key!r} has two values, {pairs[key]!r} and {value!r}")
    return pairs


def setting(section: str, parse: Callable[[str], Any], default: str | None = None) -> Any:
    """Declare a key of a settings class.

    :param section: section of the INI file
    :param parse: converts the text to a value; raises ValueError
    :param default: text used if the key is absent; ``None`` for a required key
    """
    metadata = {"section": section, "parse": parse, "default": default}
    return field(metadata=metadata)


@dataclass(slots=True, frozen=True)
class RouterSettings:
    """Settings of ``bilberryshed-router``; durations in seconds, sizes in bytes."""

    name: str = setting("vm", parse_name)
    zone: str = setting("vm", parse_name)
    listen: Address = setting("vm", Address.parse)
    link_listen: Address = setting("vm", Address.parse)
    platform: Address = setting("platform", Address.parse)
    platform_timeout: float = setting("platform", parse_seconds, "2")
    vm_list_interval: float = setting("platform", parse_seconds, "1")
    sheet_interval: float = setting("sheet", parse_seconds, "0.5")
    ledger_shards: int = setting("ledger", parse_count, "8")
    ledger_interval: float = setting("ledger", parse_seconds, "0.25")
    grant_horizon: float = setting("grants", parse_seconds, "900")
    grant_least: int = setting("grants", parse_count, "2000")
    funding_wait: float = setting("grants", parse_seconds, "2")
    settle_interval: float = setting("grants", parse_seconds, "2")
    reclaim_interval: float = setting("grants", parse_seconds, "5")
    policy: str = setting("routing", parse_policy, "affinity")
    attempts: int = setting("routing", parse_count, "3")
    queue_limit: int = setting("routing", parse_count, "50")
    queue_wait: float = setting("routing", parse_seconds, "3")
    drain_limit: float = setting("stop", parse_seconds, "60")
    max_body: int = setting("limits", parse_count, "1048576")
    max_tokens_limit: int = setting("limits", parse_count, "32768")
    slo_interval: float = setting("metrics", parse_seconds, "60")
    statsd: Address | None = setting("metrics", parse_optional_address, "")
    secret_file: Path | None = setting("security", parse_optional_path, "")
    certificate: Path | None = setting("security", parse_optional_path, "")
    certificate_key: Path | None = setting("security", parse_optional_path, "")
    link_ca: Path | None = setting("security", parse_optional_path, "")


@dataclass(slots=True, frozen=True)
class AgentSettings:
    """Settings of ``bilberryshed-agent``; durations in seconds."""

    name: str = setting("vm", parse_name)
    zone: str = setting("vm", parse_name)
    link_listen: Address = setting("vm", Address.parse)
    status_listen: Address = setting("vm", Address.parse)
    backend: Address = setting("backend", Address.parse)
    kind: str = setting("backend", parse_backend_kind)
    service: str = setting("backend", str, "")
    slots: int = setting("backend", parse_count, "16")
    load_interval: float = setting("backend", parse_seconds, "0.25")
    platform: Address = setting("platform", Address.parse)
    platform_timeout: float = setting("platform", parse_seconds, "2")
    drain_limit: float = setting("stop", parse_seconds, "60")
    journal_retry: float = setting("journal", parse_seconds, "2")
    statsd: Address | None = setting("metrics", parse_optional_address, "")
    secret_file: Path | None = setting("security", parse_optional_path, "")
    certificate: Path | None = setting("security", parse_optional_path, "")
    certificate_key: Path | None = setting("security", parse_optional_path, "")


def load_settings(cls: type[SettingsT], path: Path) -> Result[SettingsT, tuple[Finding, ...]]:
    """Read and validate a settings file.

    :param cls: settings class
    :param path: INI file
    :returns: the settings, or all findings
    """
    source = str(path)
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Failure((Finding(source, "file", f"cannot be read: {error.strerror}"),))
    except UnicodeDecodeError as error:
        return Failure((Finding(source, f"byte {error.start}", "is not UTF-8"),))
    except configparser.Error as error:
        return Failure(
            (Finding(source, _error_location(error), str(error.message).splitlines()[0]),)
        )
    return _parse_keys(cls, source, parser)


def _error_location(error: configparser.Error) -> str:
    lineno = getattr(error, "lineno", None)
    if lineno is None and getattr(error, "errors", None):
        lineno = error.errors[0][0]  # type: ignore[attr-defined]
    return f"line {lineno}" if lineno else "file"


def _parse_keys(
    cls: type[SettingsT], source: str, parser: configparser.ConfigParser
) -> Result[SettingsT, tuple[Finding, ...]]:
    findings = _unknown_keys(cls, source, parser)
    values: dict[str, Any] = {}
    for key_field in fields(cls):  # type: ignore[arg-type]
        section = key_field.metadata["section"]
        text = parser.get(section, key_field.name, fallback=key_field.metadata["default"])
        location = f"[{section}] {key_field.name}"
        if text is None:
            findings.append(Finding(source, location, "is missing"))
            continue
        try:
            values[key_field.name] = key_field.metadata["parse"](text)
        except ValueError as error:
            findings.append(Finding(source, location, str(error)))
    if findings:
        return Failure(tuple(findings))
    return Success(cls(**values))


def _unknown_keys(cls: type[Any], source: str, parser: configparser.ConfigParser) -> list[Finding]:
    known_keys = {(key_field.metadata["section"], key_field.name) for key_field in fields(cls)}
    sections = {section for section, _ in known_keys}
    findings = []
    for section in parser.sections():
        if section not in sections:
            findings.append(Finding(source, f"[{section}]", "is not a known section"))
            continue
        for key in parser[section]:
            if (section, key) not in known_keys:
                findings.append(Finding(source, f"[{section}] {key}", "is not a known key"))
    return findings
