"""Creates the ports through which a gateway uses the platform."""

from bilberryshed.coordination.admission import ByteCounter
from bilberryshed.gateway import GatewayPorts
from bilberryshed.platform._backends import decode_server
from bilberryshed.platform._config import decode_table
from bilberryshed.platform._headers import PlatformDialect
from bilberryshed.platform._store import PlatformStore
from bilberryshed.state import Address

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
SERVER_TABLE = "servers"
EVACUATION_PREFIX = "evacuate/"  # in the operators' table; the zone follows


def gateway_ports(store: Address, timeout: float) -> GatewayPorts:
    """Return the ports to the platform.

    :param store: address of the platform's store
    :param timeout: seconds for one call to the store
    """
    byte_counter = ByteCounter()
    client = PlatformStore(store, timeout, byte_counter)
    return GatewayPorts(
        tables=client,
        feed=client,
        dialect=PlatformDialect(),
        decode_table=decode_table,
        decode_server=decode_server,
        route_table=OPERATOR_TABLE,
        route_key=CONFIG_KEY,
        server_table=SERVER_TABLE,
        evacuation_prefix=EVACUATION_PREFIX,
        byte_counter=byte_counter,
    )
