"""Generates docs/operators/settings.md from the settings classes."""

from dataclasses import fields
from pathlib import Path

from bilberryshed.state import AgentSettings, GatewaySettings, RouterSettings

TARGET = Path("docs/operators/settings.md")
HEADER = """# Settings

INI files. Addresses are `IP:PORT`. A key without default must be given; an unknown key is a
finding. Written by `scripts/settings_reference.py`.
"""
DESCRIPTIONS = {
    "name": "VM name, unique in the fleet",
    "zone": "availability zone",
    "listen": "address of the callers' API",
    "link_listen": "address of the link listener",
    "status_listen": "address of the status page",
    "backend": "address of the backend server",
    "kind": "engine or service",
    "service": "plain service that the backend server offers, empty for an engine",
    "slots": "attempts that run at once; twice as many are admitted",
    "load_interval": "time between load reports, s",
    "journal_retry": "time before an unconfirmed record is sent again, s",
    "platform": "address of the platform",
    "platform_timeout": "limit of one call, s",
    "vm_list_interval": "time between reads of the VM list, s",
    "sheet_interval": "time between polls of the accepted version, s",
    "ledger_shards": "shards of the ledger; the same on all routers, never changed",
    "ledger_interval": "time between commits, s",
    "grant_horizon": "demand for which tokens are held in hand, s",
    "grant_least": "smallest grant while the budget is plentiful, tokens",
    "funding_wait": "longest wait for tokens of running requests, s",
    "settle_interval": "time between adoptions and closings of grants, s",
    "reclaim_interval": "time between looks for grants of routers that are gone, s",
    "policy": "affinity, two_choices, least_connections, round_robin or random",
    "attempts": "attempts for one request",
    "queue_limit": "requests of one customer that may wait for a backend server",
    "queue_wait": "longest such wait, s",
    "drain_limit": "longest graceful stop, s",
    "max_body": "largest body, bytes",
    "max_tokens_limit": "largest max_tokens",
    "slo_interval": "time between service-level tallies, s",
    "statsd": "statsd server; empty for none",
    "secret_file": "file with the link secret, the same everywhere; empty for none",
    "certificate": "PEM certificate; TLS for callers and incoming links if set",
    "certificate_key": "PEM key of the certificate",
    "ready_listen": "address of the readiness probe",
    "metrics_listen": "address of the metrics page; empty for none",
    "memory": "memory of the process, MB",
    "store": "address of the platform's store",
    "store_timeout": "limit of one call, s",
    "drain_time": "time from SIGTERM to SIGKILL, s",
    "retry_ratio": "retries allowed for each request, over all gateways",
    "retry_window": "window in which retries are counted, s",
    "retry_slack": "retries that all gateways have beside the ratio",
    "link_ca": "PEM file of the CA of outgoing links; TLS on them if set",
}


def format_table(title: str, cls: type) -> list[str]:
    """Return the Markdown table of one settings class."""
    lines = [f"## {title}", "", "| section | key | default | meaning |", "|---|---|---|---|"]
    for key_field in fields(cls):
        default = key_field.metadata["default"]
        default_text = (
            "must be given" if default is None else f"`{default}`" if default else "empty"
        )
        section, description = key_field.metadata["section"], DESCRIPTIONS[key_field.name]
        lines.append(f"| `{section}` | `{key_field.name}` | {default_text} | {description} |")
    return lines


def main() -> None:
    """Write the settings page."""
    page_lines = [
        HEADER,
        *format_table("Router", RouterSettings),
        "",
        *format_table("Agent", AgentSettings),
    ]
    page_lines += ["", *format_table("Gateway", GatewaySettings)]
    TARGET.write_text("\n".join(page_lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
