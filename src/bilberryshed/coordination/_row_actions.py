"""Actions on the table service that several state machines share."""

from dataclasses import dataclass

from bilberryshed.state import Put, RowRef


@dataclass(slots=True, frozen=True)
class ReadRows:
    """Action: read these rows."""

    refs: tuple[RowRef, ...]


@dataclass(slots=True, frozen=True)
class WriteRows:
    """Action: write these rows in one conditional transaction."""

    puts: tuple[Put, ...]
