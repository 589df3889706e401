"""Decodes the entries that backend servers write about themselves."""

import json

from returns.result import Failure, Result, Success

from bilberryshed.platform import _fields as fields
from bilberryshed.protocol import Finding
from bilberryshed.state import Address, BackendServer

DRAINING = {"serving": False, "draining": True}


def decode_server(id_: str, data: bytes) -> Result[BackendServer, Finding]:
    """Decode an entry, or say what is wrong with it; another writer may have made it.

    :param id_: key of the entry, the only place where the id stands
    """
    place = f"servers/{id_}"
    try:
        entry = fields.table(json.loads(data), place)
        state = fields.text(entry, "state", place)
        if state not in DRAINING:
            raise fields.FieldError(f"{place}.state is {state!r}")
        address = fields.text(entry, "address", place)
        Address.parse(address)
        return Success(
            BackendServer(
                id=id_,
                service=fields.text(entry, "service", place),
                address=address,
                zone=fields.text(entry, "zone", place),
                slots=fields.whole(entry, "slots", place, 1),
                draining=DRAINING[state],
                started_at_ms=fields.whole(entry, "born", place, 0),
                # "sequence" counts the writes of the entry's backend server.
                sequence=fields.whole(entry, "sequence", place, 0),
            )
        )
    except (ValueError, RecursionError) as error:
        return Failure(Finding("servers", place, str(error)))
