"""Layout of a simulated fleet: regions, zones, control nodes, and the services of each proxy."""

from __future__ import annotations

import random
from dataclasses import dataclass

from martentide.control.client import ProxyInfo
from martentide.control.placement import NodeInfo


@dataclass(frozen=True, slots=True)
class Layout:
    """Sizes of a fleet. Each proxy subscribes to its own service and ``called_services`` random ones."""

    proxies: int = 4_700
    nodes: int = 10
    regions: int = 4
    zones: int = 13
    services: int = 210
    called_services: int = 10

    def zone(self, index: int) -> str:
        """Return the zone of a proxy by its index."""
        return f"z{index % self.zones}"

    def region_of_zone(self, zone: str) -> str:
        """Return the region that the zone belongs to."""
        return f"r{int(zone[1:]) % self.regions}"

    def zones_of(self, region: str) -> list[str]:
        """Return the zones of the region."""
        zones = [f"z{index}" for index in range(self.zones)]
        return [zone for zone in zones if self.region_of_zone(zone) == region]

    def node_infos(self) -> tuple[NodeInfo, ...]:
        """Return the control nodes; regions with more zones, and so more proxies, get more nodes."""
        by_region = sorted(self.region_of_zone(f"z{index}") for index in range(self.zones))
        regions = [by_region[index * self.zones // self.nodes] for index in range(self.nodes)]
        for index, region in enumerate(f"r{number}" for number in range(min(self.regions, self.nodes))):
            if region not in regions:
                regions[index] = region
        return tuple(NodeInfo(f"n{index}", region) for index, region in enumerate(regions))

    def proxy_info(self, index: int, rng: random.Random) -> ProxyInfo:
        """Return a proxy's zone, region and service by its index, with random called services."""
        zone = self.zone(index)
        service = f"s{index // self.zones % self.services}"
        others = rng.sample(range(self.services), min(self.called_services, self.services))
        services = frozenset({service, *(f"s{other}" for other in others)})
        return ProxyInfo(f"p{index}", self.region_of_zone(zone), zone, service, services)
