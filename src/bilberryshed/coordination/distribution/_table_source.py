"""Whether a gateway reads the route table from the store or has other gateways send it.

Load pattern: operators write large tables, or many in quick succession, and each gateway reads each
of them in full. A VM with a narrow link is then busy with tables instead of requests, and may not
finish one before its call times out. Gateways send tables compressed, and only the latest.
"""

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
STORE_OVERHEAD = 4 / 3  # size of a row in a response of the store, as a multiple of its data
MAX_TRANSFER_TIME = 0.1  # seconds that the transfer of a table from the store may take


class TableSource:
    """The choice of one gateway.

    :param bandwidth: bandwidth of its VM's network link in Mbit/s
    """

    __slots__ = ("capacity",)

    def __init__(self, bandwidth: float) -> None:
        self.capacity = bandwidth * BITS_PER_MEGABIT / BITS_PER_BYTE

    def transfer_time(self, size: int) -> float:
        """Return the seconds in which the link can transfer a table from the store.

        :param size: bytes of the table
        """
        return size * STORE_OVERHEAD / self.capacity

    def uses_hub(self, size: int, is_hub: bool, hub_has_store: bool, is_behind: bool) -> bool:
        """Whether the gateway leaves the store alone, as its hub sends it each new table.

        Hubs always read the store, so that some gateways do.

        :param size: bytes of the active table, 0 if there is none
        :param is_hub: whether the gateway is its own hub
        :param hub_has_store: whether the hub is linked and reaches the store
        :param is_behind: whether a newer table has been announced for long and has not arrived
        """
        if is_hub or not hub_has_store or is_behind or not size or not self.capacity:
            return False
        return self.transfer_time(size) > MAX_TRANSFER_TIME
