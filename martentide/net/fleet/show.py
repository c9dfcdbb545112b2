"""What ``martentide fleet show`` asks of a running proxy, and its table."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any

from martentide.lifecycle.calls import FLEET, PROPOSE, VERSIONS

REQUEST_TIMEOUT_S = 3.0  # s


class QueryError(Exception):
    """The proxy can't be asked, or is no member; the text is one line."""


def query(operator: str, path: str = FLEET, body: bytes | None = None) -> str:
    """What the proxy whose operator's calls come in there says to that call: its status as JSON, where none
    is named. Raises QueryError."""
    host, colon, port = operator.rpartition(":")
    if not colon or not host or not port.isdecimal():
        raise QueryError("expected HOST:PORT")
    connection = http.client.HTTPConnection(host, int(port), timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request("GET" if body is None else "POST", path, body)
        answer = connection.getresponse()
        text = answer.read().decode()
    except (OSError, http.client.HTTPException) as error:
        raise QueryError(str(error) or type(error).__name__) from None
    finally:
        connection.close()
    if answer.status not in (200, 202):
        raise QueryError(text.strip())
    return text.strip()


def propose(operator: str, proposal: dict[str, Any], timeout: float, path: str = PROPOSE) -> dict[str, Any]:
    """Propose a version there (or what ``path`` takes) and wait for its verdict, for so many s; raises
    QueryError."""
    number = query(operator, path, json.dumps(proposal).encode())
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        verdict: dict[str, Any] | None = json.loads(query(operator, VERSIONS))["verdicts"].get(number)
        if verdict is not None:
            return verdict
        time.sleep(0.1)
    raise QueryError(f"nothing is known of it after {timeout:g} s")


def rules_of(said: dict[str, Any], number: int) -> dict[str, Any]:
    """The rules of a version that is in force or was of late; raises QueryError."""
    found: dict[str, Any] | None = said["rules"].get(str(number))
    if found is None:
        known = ", ".join(name for name, rules in said["rules"].items() if rules) or "none"
        raise QueryError(f"version {number}: expected one whose rules are kept ({known})")
    return found


def differences(one: dict[str, Any], other: dict[str, Any]) -> list[str]:
    """What differs between two rule sets, a line each; below, why they contradict each other."""
    lines = []
    flat = [_flat(rules) for rules in (one, other)]
    for key in sorted({*flat[0], *flat[1]}):
        a, b = (part.get(key, "-") for part in flat)
        if a != b:
            lines.append(f"{key}: {a} -> {b}")
    from martentide.agreement.ruleset import contradictions, rules_from

    return lines + [f"  {why}" for why in contradictions(rules_from(one, "one"), rules_from(other, "other"))]


def _flat(data: dict[str, Any], above: str = "") -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in data.items():
        if isinstance(value, dict):
            found |= _flat(value, f"{above}{key}/")
        else:
            found[f"{above}{key}"] = value
    return found


def acting(status: str) -> str:
    """A table: by what each member acts, since when, and which list it has."""
    said: dict[str, Any] = json.loads(status)
    lines = [f"{'member':<16} {'version':>7} {'acts by':<13} {'since':>9}  {'list':<9} prepared, refused"]
    for one in said["members"]:
        more = " ".join(str(one[key]) for key in ("prepared", "refused") if one[key])
        lines.append(
            f"{one['name']:<16} {one['version']:>7} {one['acts']:<13} {one['since_ms'] / 1000:>8.1f}s  "
            f"{one['list']:<9} {more}".rstrip()
        )
    return "\n".join(lines)


def versions(status: str) -> str:
    """A table of what ``VERSIONS`` tells."""
    said: dict[str, Any] = json.loads(status)
    role = "leads" if said["leads"] else "votes" if said["votes"] else "learns"
    lines = [
        f"{said['name']} {role}; leader {said['leader'] or 'unknown'}; acts by {said['acts']}, "
        f"lease for {said['lease_ms']} ms",
        f"in force: version {said['version']} by {said['by'] or '-'}: {said['why']}",
    ]
    if said["joint"] is not None:
        refused = f", refused here: {said['refused']}" if said["refused"] else ""
        lines.append(f"being brought into force: version {said['joint']}{refused}")
    lines += [f"{number:>6}  {by:<16} {why}: {end}" for number, by, why, end in reversed(said["past"])]
    return "\n".join(lines)


def table(status: str) -> str:
    said: dict[str, Any] = json.loads(status)
    own = f"{said['name']} in fleet {said['fleet']}: {said['state']}"
    if "health" in said:
        own += f", generation {said['generation']}, own doubt {said['health']}"
    lines = [own]
    if said["members"]:
        lines.append(f"{'member':<16} {'zone':<12} {'state':<8} {'generation':>10} {'heard':>8}  facets")
    for one in said["members"]:
        facets = " ".join(f"{f['kind']}:{f['age'] / 1000:.1f}s" for f in one["facets"]) or "-"
        if one["accusers"] and one["state"] == "suspect":
            facets += f"  accused by {', '.join(one['accusers'])}"
        lines.append(
            f"{one['name']:<16} {one['zone']:<12} {one['state']:<8} {one['generation']:>10} "
            f"{one['heard'] / 1000:>7.1f}s  {facets}"
        )
    for what in ("tests", "trials"):
        if left := said.get(f"{what}_left_to_others"):
            lines.append(f"{what} left to others: {', '.join(left)}")
    if (load := said.get("overload")) is not None:
        cut = ", ".join(f"{kind} {share:.0%}" for kind, share in load["shares"].items() if share < 1.0)
        alone = ", by what it sees alone" if load["alone"] else ""
        lines.append(
            f"overload: {load['phase']}{alone}, pressure {load['pressure']:.2f}, lets in "
            f"{load['admitted']:.0%}{f' ({cut})' if cut else ''}, {load['tokens']:g} tokens"
        )
    return "\n".join(lines)
