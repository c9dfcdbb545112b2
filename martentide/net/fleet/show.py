"""Queries to a running proxy for ``martentide fleet`` commands, and the tables they print."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any

from martentide.lifecycle.calls import FLEET, PROPOSE, VERSIONS

REQUEST_TIMEOUT_S = 3.0


class QueryError(Exception):
    """The proxy can't be queried, or isn't a member of a fleet; the text is one line."""


def query(operator: str, path: str = FLEET, body: bytes | None = None) -> str:
    """Send a request to a proxy's operator interface at ``HOST:PORT`` and return the body of the response.

    The default path returns the fleet status as JSON; with ``body`` the request is a POST. Raises QueryError.
    """
    host, colon, port = operator.rpartition(":")
    if not colon or not host or not port.isdecimal():
        raise QueryError("expected HOST:PORT")
    connection = http.client.HTTPConnection(host, int(port), timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request("GET" if body is None else "POST", path, body)
        response = connection.getresponse()
        text = response.read().decode()
    except (OSError, http.client.HTTPException) as error:
        raise QueryError(str(error) or type(error).__name__) from None
    finally:
        connection.close()
    if response.status not in (200, 202):
        raise QueryError(text.strip())
    return text.strip()


def propose(operator: str, proposal: dict[str, Any], timeout: float, path: str = PROPOSE) -> dict[str, Any]:
    """Propose a version of the rules (or what ``path`` takes) and wait for the verdict.

    Raises QueryError, also when there is no verdict after ``timeout`` (s).
    """
    number = query(operator, path, json.dumps(proposal).encode())
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        verdict: dict[str, Any] | None = json.loads(query(operator, VERSIONS))["verdicts"].get(number)
        if verdict is not None:
            return verdict
        time.sleep(0.1)
    raise QueryError(f"no verdict on the proposal after {timeout:g} s")


def rules_of(status: dict[str, Any], number: int) -> dict[str, Any]:
    """Rules of a version that is, or recently was, in force; raises QueryError if they aren't available."""
    rules: dict[str, Any] | None = status["rules"].get(str(number))
    if rules is None:
        available = ", ".join(name for name, entry in status["rules"].items() if entry) or "none"
        raise QueryError(f"version {number}: expected one whose rules are kept ({available})")
    return rules


def differences(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """Lines with the differing keys of two rule sets, then the reasons why the two contradict each other."""
    lines = []
    flat = [_flatten(rules) for rules in (old, new)]
    for key in sorted({*flat[0], *flat[1]}):
        old_value, new_value = (values.get(key, "-") for values in flat)
        if old_value != new_value:
            lines.append(f"{key}: {old_value} -> {new_value}")
    from martentide.agreement.ruleset import contradictions, rules_from

    return lines + [
        f"  {reason}" for reason in contradictions(rules_from(old, "one"), rules_from(new, "other"))
    ]


def _flatten(data: dict[str, Any], prefix: str = "") -> dict[str, Any]:
    flattened: dict[str, Any] = {}
    for key, value in data.items():
        if isinstance(value, dict):
            flattened |= _flatten(value, f"{prefix}{key}/")
        else:
            flattened[f"{prefix}{key}"] = value
    return flattened


def members_table(status: str) -> str:
    """Format a table of the version each member acts on, since when, and the digest of its server list."""
    data: dict[str, Any] = json.loads(status)
    lines = [f"{'member':<16} {'version':>7} {'acts by':<13} {'since':>9}  {'list':<9} prepared, refused"]
    for member in data["members"]:
        details = " ".join(str(member[key]) for key in ("prepared", "refused") if member[key])
        lines.append(
            f"{member['name']:<16} {member['version']:>7} {member['acts']:<13} "
            f"{member['since_ms'] / 1000:>8.1f}s  {member['list']:<9} {details}".rstrip()
        )
    return "\n".join(lines)


def versions_table(status: str) -> str:
    """Format the response to ``VERSIONS``: the versions in force, being brought into force, and earlier."""
    data: dict[str, Any] = json.loads(status)
    role = "leads" if data["leads"] else "votes" if data["votes"] else "learns"
    lines = [
        f"{data['name']} {role}; leader {data['leader'] or 'unknown'}; acts by {data['acts']}, "
        f"lease for {data['lease_ms']} ms",
        f"in force: version {data['version']} by {data['by'] or '-'}: {data['why']}",
    ]
    if data["joint"] is not None:
        refused = f", refused here: {data['refused']}" if data["refused"] else ""
        lines.append(f"being brought into force: version {data['joint']}{refused}")
    lines += [f"{number:>6}  {by:<16} {why}: {end}" for number, by, why, end in reversed(data["past"])]
    return "\n".join(lines)


def table(status: str) -> str:
    """Format the fleet status as a table."""
    data: dict[str, Any] = json.loads(status)
    header = f"{data['name']} in fleet {data['fleet']}: {data['state']}"
    if "health" in data:
        header += f", generation {data['generation']}, own doubt {data['health']}"
    lines = [header]
    if data["members"]:
        lines.append(f"{'member':<16} {'zone':<12} {'state':<8} {'generation':>10} {'heard':>8}  facets")
    for member in data["members"]:
        facets = " ".join(f"{f['kind']}:{f['age'] / 1000:.1f}s" for f in member["facets"]) or "-"
        if member["accusers"] and member["state"] == "suspect":
            facets += f"  accused by {', '.join(member['accusers'])}"
        lines.append(
            f"{member['name']:<16} {member['zone']:<12} {member['state']:<8} {member['generation']:>10} "
            f"{member['heard'] / 1000:>7.1f}s  {facets}"
        )
    for what in ("tests", "trials"):
        if servers := data.get(f"{what}_left_to_others"):
            lines.append(f"{what} left to others: {', '.join(servers)}")
    if (overload := data.get("overload")) is not None:
        reduced = ", ".join(
            f"{kind} {share:.0%}" for kind, share in overload["shares"].items() if share < 1.0
        )
        alone = ", by what it sees alone" if overload["alone"] else ""
        lines.append(
            f"overload: {overload['phase']}{alone}, pressure {overload['pressure']:.2f}, lets in "
            f"{overload['admitted']:.0%}{f' ({reduced})' if reduced else ''}, {overload['tokens']:g} tokens"
        )
    return "\n".join(lines)
