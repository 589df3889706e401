"""Decodes the entries that backend servers write to register themselves."""

import json
import re

from returns.result import Failure, Result, Success

from bilberryshed.platform import _fields as fields
from bilberryshed.protocol import Finding
from bilberryshed.state import Address, BackendServer

_ID = re.compile(r"[\x21-\x7e]{1,200}")  # it is sent in a header
_IPV4_ADDRESS = re.compile(r"[0-9.]+:[0-9]+")
MAX_COLD_MS = 600_000  # a longer time is taken for an invalid value
DRAINING_BY_STATE = {"serving": False, "draining": True}


def _cold_ms(value: object) -> int | None:
    """Return how long a backend server stays cold in milliseconds, ``None`` if unreadable."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return int(value) if 0 <= value <= MAX_COLD_MS else None


def decode_server(id_: str, data: bytes) -> Result[BackendServer, Finding]:
    """Decode an entry, or return what is wrong with it, as any writer may have written it.

    :param id_: key of the entry; the entry itself does not contain the id
    """
    location = f"servers/{ascii(id_)[1:-1][: fields.MAX_NAME]}"
    try:
        if not _ID.fullmatch(id_):
            raise fields.FieldError(f"{location} is no id")
        entry = fields.json_object(json.loads(data), location)
        state = fields.string(entry, "state", location)
        if state not in DRAINING_BY_STATE:
            raise fields.FieldError(f"{location}.state is {state!r}")
        address = fields.name(entry, "address", location)
        if not _IPV4_ADDRESS.fullmatch(address):
            raise fields.FieldError(f"{location}.address is {address!r}, not IP:PORT")
        Address.parse(address)
        return Success(
            BackendServer(
                id=id_,
                service=fields.name(entry, "service", location),
                address=address,
                zone=fields.name(entry, "zone", location),
                slots=fields.integer(entry, "slots", location, 1),
                draining=DRAINING_BY_STATE[state],
                started_at_ms=fields.integer(entry, "born", location, 0),
                # "sequence" is the number of writes by the backend server.
                sequence=fields.integer(entry, "sequence", location, 0),
                version=fields.check_name(entry.get("version", ""), f"{location}.version"),
                cold_ms=_cold_ms(entry.get("coldRemainingMs", 0)),
            )
        )
    except (ValueError, RecursionError) as error:
        return Failure(Finding("servers", location, str(error)))
