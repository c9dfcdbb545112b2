"""Session servers whose address belongs to a later one: address and start say who a server is."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from martentide.codec.discovery import Listed, Notice
from martentide.interface import ServerState


def marked_gone(listed: Listed) -> Listed:
    """Return the entry of the same server in state GONE."""
    return Listed(replace(listed.entry, state=ServerState.GONE), listed.host, listed.port)


def mark_replaced(notice: Notice, current: Mapping[str, Listed]) -> Notice:
    """Return the notice with each server as gone whose address a server that started later has by now.

    ``current`` holds the servers of earlier notices by name. The notice that one is gone may come later than
    the one that announces the other, or be lost with the machine; until then, work for the one that has gone
    would reach the other.
    """
    servers = {} if notice.whole else dict(current)
    servers.update((listed.entry.name, listed) for listed in notice.servers)
    present = [listed for listed in servers.values() if listed.entry.state is not ServerState.GONE]
    latest_start: dict[tuple[str, int], float] = {}
    for listed in present:
        address, started = (listed.host, listed.port), listed.entry.started or 0.0
        latest_start[address] = max(started, latest_start.get(address, 0.0))
    replaced = {
        listed.entry.name
        for listed in present
        if (listed.entry.started or 0.0) < latest_start[listed.host, listed.port]
    }
    if not replaced:
        return notice
    kept = tuple(listed for listed in notice.servers if listed.entry.name not in replaced)
    return replace(notice, servers=kept + tuple(marked_gone(servers[name]) for name in sorted(replaced)))
