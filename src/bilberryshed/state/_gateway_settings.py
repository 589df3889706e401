"""Settings of ``bilberryshed-gateway``."""

from dataclasses import dataclass

from bilberryshed.state._settings import (
    Address,
    parse_boolean,
    parse_count,
    parse_count_or_zero,
    parse_name,
    parse_optional_address,
    parse_optional_ratio,
    parse_pairs,
    parse_ratio,
    parse_seconds,
    parse_share,
    setting,
)

MBITS_PER_CORE = 100.0  # Mbit/s that the requests handled by one core need at most


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Settings of a gateway; durations in seconds, sizes in megabytes.

    :param ready_listen: address of the readiness probe
    :param link_listen: address for links from other gateways
    :param metrics_listen: address of the metrics page, if it is served
    :param memory: memory of the process
    :param cpu: processor of the VM, in cores
    :param cpu_speed: speed of that processor, as a multiple of a usual core
    :param bandwidth: bandwidth of the VM's network link, in Mbit/s
    :param drain_time: time from SIGTERM to SIGKILL
    :param retry_ratio: retries allowed per request, over all gateways
    :param retry_window: length of the sliding window in which retries are counted
    :param retry_slack: retries allowed in addition to the ratio, for all gateways together
    :param grant_horizon: time for which the prepaid tokens held should cover the demand
    :param regions: region of each availability zone, as ``zone:region`` pairs
    :param cold_overrun: multiple of a service's rate for cold backend servers that these tolerate
    :param cold_slack: requests in one second that they tolerate in addition; cold backend servers
        are protected only if both are set
    :param link_wait_ratio: share of its latency target that a request may wait for the VM's network
        link; 0: a full link has no effect on admission, dispatch and readiness
    :param pace: whether backend servers that have started or recovered get a growing share of work
    :param held_share: share of the memory that may hold requests and responses of callers
    :param header_fields: header fields of a request
    :param body_time: time without a byte of a body after which its caller is cut off
    :param read_time: time in which a caller reads nothing of a response and is cut off
    :param connections: callers' connections, 0 for as many as descriptors and memory allow
    :param store_timeout: timeout of one call to the store
    """

    name: str = setting("vm", parse_name)
    zone: str = setting("vm", parse_name)
    listen: Address = setting("vm", Address.parse)
    ready_listen: Address = setting("vm", Address.parse)
    link_listen: Address = setting("vm", Address.parse)
    metrics_listen: Address | None = setting("vm", parse_optional_address, "")
    statsd: Address | None = setting("vm", parse_optional_address, "")
    memory: int = setting("vm", parse_count, "300")
    cpu: float = setting("vm", parse_ratio, "1")
    cpu_speed: float = setting("vm", parse_ratio, "1")
    bandwidth: float = setting("vm", parse_ratio, "1000")
    store: Address = setting("store", Address.parse)
    store_timeout: float = setting("store", parse_seconds, "1")
    drain_time: float = setting("stop", parse_seconds, "8")
    retry_ratio: float = setting("retries", parse_ratio, "0.2")
    retry_window: float = setting("retries", parse_seconds, "10")
    retry_slack: float = setting("retries", parse_ratio, "50")
    grant_horizon: float = setting("prepaid", parse_seconds, "25")
    regions: dict[str, str] = setting("places", parse_pairs, "")
    cold_overrun: float | None = setting("places", parse_optional_ratio, "")
    cold_slack: float | None = setting("places", parse_optional_ratio, "")
    link_wait_ratio: float = setting("overload", parse_ratio, "0")
    pace: bool = setting("pace", parse_boolean, "no")
    held_share: float = setting("callers", parse_share, "0.2")
    header_fields: int = setting("callers", parse_count, "4096")
    body_time: float = setting("callers", parse_seconds, "15")
    read_time: float = setting("callers", parse_seconds, "30")
    connections: int = setting("callers", parse_count_or_zero, "0")

    @property
    def capacity(self) -> float:
        """Capacity of the VM in cores that its network link can keep busy."""
        return round(min(self.cpu * self.cpu_speed, self.bandwidth / MBITS_PER_CORE), 3)
