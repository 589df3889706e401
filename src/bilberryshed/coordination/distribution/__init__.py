"""Distribution of the route table: from the store, or from another gateway over a link."""

from bilberryshed.coordination.distribution._table_fetch import TableFetch
from bilberryshed.coordination.distribution._table_parts import share_unchanged_parts
from bilberryshed.coordination.distribution._table_source import TableSource

__all__ = ["TableFetch", "TableSource", "share_unchanged_parts"]
