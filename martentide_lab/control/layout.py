"""Who is where in a simulated fleet: regions, zones, control nodes, services, and who calls whom."""

from __future__ import annotations

import random
from dataclasses import dataclass

from martentide.control.client import ProxyInfo
from martentide.control.placement import NodeInfo


@dataclass(frozen=True, slots=True)
class Layout:
    """Sizes; ``called_services`` services are drawn for each proxy beside its own."""

    proxies: int = 4_700
    nodes: int = 10
    regions: int = 4
    zones: int = 13
    services: int = 210
    called_services: int = 10

    def zone(self, at: int) -> str:
        return f"z{at % self.zones}"

    def region_of_zone(self, zone: str) -> str:
        return f"r{int(zone[1:]) % self.regions}"

    def zones_of(self, region: str) -> list[str]:
        zones = [f"z{at}" for at in range(self.zones)]
        return [zone for zone in zones if self.region_of_zone(zone) == region]

    def node_infos(self) -> tuple[NodeInfo, ...]:
        """Nodes go to regions by the zones that these have: more proxies, more nodes."""
        by_region = sorted(self.region_of_zone(f"z{at}") for at in range(self.zones))
        regions = [by_region[at * self.zones // self.nodes] for at in range(self.nodes)]
        for at, region in enumerate(f"r{at}" for at in range(min(self.regions, self.nodes))):
            if region not in regions:
                regions[at] = region
        return tuple(NodeInfo(f"n{at}", region) for at, region in enumerate(regions))

    def proxy(self, at: int, rng: random.Random) -> ProxyInfo:
        zone = self.zone(at)
        service = f"s{at // self.zones % self.services}"
        others = rng.sample(range(self.services), min(self.called_services, self.services))
        services = frozenset({service, *(f"s{other}" for other in others)})
        return ProxyInfo(f"p{at}", self.region_of_zone(zone), zone, service, services)
