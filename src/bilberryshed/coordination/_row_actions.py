"""Actions on the table service that several decisions share."""

from dataclasses import dataclass

from bilberryshed.state import Put, RowRef


@dataclass(slots=True, frozen=True)
class ReadRows:
    """Action: read these rows."""

    refs: tuple[RowRef, ...]


@dataclass(slots=True, frozen=True)
class WriteRows:
    """Action: write these rows in one transaction."""

    puts: tuple[Put, ...]
