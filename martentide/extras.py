"""The extras file (KDL): enables and configures the subsystems outside the platform's protocol.

Each error names the file, the node and the property, the value found and the value expected. A subsystem that
the file does not name is disabled. ``deploy/extras.example.kdl`` shows all nodes.
"""

from __future__ import annotations

import difflib
import ipaddress
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Annotated, Any, TypeVar

import ckdl
import msgspec

from martentide.control.placement import NodeInfo
from martentide.extproc.ledger import LifecycleSettings
from martentide.extproc.limits import Limits
from martentide.extproc.sessions import SessionSettings
from martentide.fleet.terms import Terms as FleetTerms
from martentide.interface import Settings
from martentide.learned.pacing import Pace

MAX_FILE_BYTES = 1024 * 1024
MAX_SERVICES = 63  # services that a proxy calls, in addition to its own

Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
Millis = Annotated[float, msgspec.Meta(ge=0, le=600_000)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
Header = Annotated[str, msgspec.Meta(pattern=r"^:?[a-z0-9!#$%&'*+.^_|~-]{1,64}$")]
Status = Annotated[int, msgspec.Meta(ge=100, le=599)]


class ExtrasError(Exception):
    """Raised if the extras file is invalid or can't be read; the message is one line."""


class Node(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"):
    """Base of the structs that hold the properties of one node."""


class LimitsNode(Node, frozen=True):
    """Admission limits of fronts."""

    pending_each: Count = 500
    pending_all: Count = 2_000
    open_each: Count = 5_000
    open_all: Count = 20_000
    rate_each: Rate = 1_000.0
    burst_ms: Millis = 250.0
    reserve: Share = 0.2
    max_retry_after_ms: Millis = 2_000.0


class TimesNode(Node, frozen=True):
    """Times of the request lifecycle, in ms."""

    verdict_margin_ms: Millis = 20.0
    report_margin_ms: Millis = 40.0
    valid_for_ms: Annotated[float, msgspec.Meta(ge=10, le=1_800)] = 1_000.0  # the drain rule allows 2 s
    lease_grace_ms: Millis = 250.0
    standing_end_ms: Annotated[float, msgspec.Meta(ge=0, le=8_000)] = 8_000.0


class SessionsNode(Node, frozen=True):
    """Lease and limits of sessions."""

    lease_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 2_000.0
    most: Count = 64  # sessions of all fronts together
    most_each: Count = 8  # sessions of one front


class StreamsNode(Node, frozen=True):
    """Limits of streams."""

    most_message_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=4_194_304)] = 65_536
    most_streams: Count = 2_000  # of one connection
    most_unsent: Count = 10_000  # messages queued for a front that does not read
    blocked_ms: Millis = 2_000.0  # timeout of one write


class HeadersNode(Node, frozen=True):
    """Names of the HTTP headers that carry questions and decisions."""

    call_class: Header = "x-call-class"
    deadline_ms: Header = "x-call-deadline-ms"
    number: Header = "x-called-number"
    first_choice: Header = "x-first-choice"
    report: Header = "x-load-report"
    server: Header = "x-envoy-original-dst-host"
    patience_ms: Header = "x-envoy-upstream-rq-timeout-ms"
    attempt: Header = "x-martentide-attempt"


class StatusNode(Node, frozen=True):
    """HTTP status codes of attempt outcomes (other codes from 400 are errors) and of final verdicts."""

    full: Status = 503
    timed_out: Status = 504
    unreachable: Status = 502
    refusal: Status = 503  # sent to the caller for a refusal
    failure: Status = 502  # sent to the caller for a failure


class ExternalProcessor(msgspec.Struct, frozen=True):
    """The node ``external-processor``."""

    listen: str
    services: tuple[str, ...] = ("decisions", "ext-proc")
    own_links: bool = True  # also connect to the servers from this process, for health checks and their state
    limits: LimitsNode = LimitsNode()
    times: TimesNode = TimesNode()
    sessions: SessionsNode = SessionsNode()
    streams: StreamsNode = StreamsNode()
    headers: HeadersNode = HeadersNode()
    statuses: StatusNode = StatusNode()

    def admission_limits(self) -> Limits:
        """Convert the limits for the admission control."""
        limits = self.limits
        return Limits(
            pending_each=limits.pending_each,
            pending_all=limits.pending_all,
            open_each=limits.open_each,
            open_all=limits.open_all,
            rate_each=limits.rate_each,
            burst_ms=limits.burst_ms,
            reserve=limits.reserve,
            max_retry_after=limits.max_retry_after_ms,
        )

    def lifecycle_settings(self, settings: Settings, single_attempt: bool) -> LifecycleSettings:
        """Combine the node's times with the settings for a ledger."""
        times = self.times
        return LifecycleSettings(
            verdict_margin=times.verdict_margin_ms,
            report_margin=times.report_margin_ms,
            valid_for=times.valid_for_ms,
            lease_grace=times.lease_grace_ms,
            standing_expiry=times.standing_end_ms,
            release_wait=settings.release,
            max_attempts=settings.max_attempts,
            single_attempt=single_attempt,
        )

    def session_settings(self) -> SessionSettings:
        """Convert the session limits."""
        return SessionSettings(self.sessions.lease_ms, self.sessions.most, self.sessions.most_each)


class TimesOfState(Node, frozen=True):
    """Period of saves of learned state and minimum gap between them, in ms."""

    period_ms: Annotated[float, msgspec.Meta(ge=50, le=600_000)] = 1_000.0
    gap_ms: Annotated[float, msgspec.Meta(ge=10, le=600_000)] = 200.0


class LearnedState(msgspec.Struct, frozen=True):
    """The node ``learned-state``."""

    folder: str
    times: TimesOfState = TimesOfState()

    def pace(self) -> Pace:
        """Convert the times."""
        return Pace(period=self.times.period_ms, gap=self.times.gap_ms)


class TimesOfFleet(Node, frozen=True):
    """Times of the fleet's membership protocol, in ms."""

    period_ms: Annotated[float, msgspec.Meta(ge=50, le=10_000)] = 200.0
    probe_timeout_ms: Annotated[float, msgspec.Meta(ge=10, le=5_000)] = 90.0
    suspicion_ms: Annotated[float, msgspec.Meta(ge=200, le=60_000)] = 1_200.0
    gossip_ms: Annotated[float, msgspec.Meta(ge=20, le=5_000)] = 100.0


class LimitsOfFleet(Node, frozen=True):
    """Limits of the fleet: gossip bandwidth in bytes per second, and number of members."""

    bytes_s: Annotated[float, msgspec.Meta(ge=1_000, le=10_000_000)] = 5_000.0
    most_members: Annotated[int, msgspec.Meta(ge=2, le=8_192)] = 2_048


class AgreementPart(msgspec.Struct, frozen=True):
    """The fleet's agreement on rule versions; ``voters`` are names of proxies.

    Without a folder, a voter loses its persistent state when it ends.
    """

    voters: tuple[str, ...]
    bound_ms: float = 2_000.0
    folder: str = ""
    rules: str = ""  # file proposed at SIGHUP if it differs from the rules in force


class Fleet(msgspec.Struct, frozen=True):
    """Membership in a fleet of proxies; ``advertise``: the address announced to others, if not ``listen``."""

    name: str
    listen: tuple[str, int]
    zone: str = ""
    advertise: tuple[str, int] | None = None
    seeds: tuple[tuple[str, int], ...] = ()
    secret: str = ""
    overload: bool = False  # share overload control with the other members
    agreement: AgreementPart | None = None
    times: TimesOfFleet = TimesOfFleet()
    limits: LimitsOfFleet = LimitsOfFleet()

    def terms(self) -> FleetTerms:
        """Convert the times and limits for the membership protocol."""
        times = self.times
        return FleetTerms(
            period=times.period_ms,
            probe_timeout=times.probe_timeout_ms,
            min_suspicion=times.suspicion_ms,
            max_suspicion=2.0 * times.suspicion_ms,
            gossip_interval=times.gossip_ms,
            bytes_per_s=self.limits.bytes_s,
            max_members=self.limits.most_members,
        )


class ControlAddress(msgspec.Struct, frozen=True):
    """Addresses of a control node; ``gossip``: its address for other control nodes."""

    name: str
    region: str
    address: tuple[str, int]
    gossip: tuple[str, int] = ("", 0)

    def info(self) -> NodeInfo:
        """Return the name and region of the node."""
        return NodeInfo(self.name, self.region)


class ControlTierPart(msgspec.Struct, frozen=True):
    """A proxy that takes a lease from a control node. ``server``: name of its own session server."""

    fleet: str
    region: str
    zone: str
    service: str
    nodes: tuple[ControlAddress, ...]
    calls: tuple[str, ...] = ()
    server: str = ""
    secret: str = ""

    def infos(self) -> tuple[NodeInfo, ...]:
        """Return the names and regions of all control nodes."""
        return tuple(node.info() for node in self.nodes)


class ControlNodePart(msgspec.Struct, frozen=True):
    """The control node run by ``martentide control``: the node ``name`` of ``nodes``."""

    fleet: str
    name: str
    nodes: tuple[ControlAddress, ...]
    secret: str = ""

    def infos(self) -> tuple[NodeInfo, ...]:
        """Return the names and regions of all control nodes."""
        return tuple(node.info() for node in self.nodes)

    def own(self) -> ControlAddress:
        """Return the addresses of this node."""
        return next(node for node in self.nodes if node.name == self.name)


class Extras(msgspec.Struct, frozen=True):
    """Contents of the file; a subsystem that is None is disabled."""

    path: str
    external_processor: ExternalProcessor | None = None
    learned_state: LearnedState | None = None
    fleet: Fleet | None = None
    control_tier: ControlTierPart | None = None
    control_node: ControlNodePart | None = None

    @property
    def dials(self) -> bool:
        """Whether the process itself connects to session servers."""
        return self.external_processor is None or self.external_processor.own_links

    def summary(self) -> str:
        """Return one line that lists the enabled subsystems."""
        enabled = []
        if (processor := self.external_processor) is not None:
            enabled.append(f"external processor ({', '.join(processor.services)}) on {processor.listen}")
        if (state := self.learned_state) is not None:
            enabled.append(f"learned state in {state.folder}")
        if (fleet := self.fleet) is not None:
            enabled.append(f"member of the fleet {fleet.name} at {fleet.listen[0]}:{fleet.listen[1]}")
        if (tier := self.control_tier) is not None:
            enabled.append(f"lease of {len(tier.nodes)} control nodes for {tier.service} in {tier.zone}")
        if (control := self.control_node) is not None:
            enabled.append(f"control node {control.name} of {len(control.nodes)}")
        return f"{self.path}: {'; '.join(enabled) or 'nothing is turned on'}"


SERVICES = ("decisions", "ext-proc")
PROPERTY_NODES: dict[str, type[Node]] = {
    "limits": LimitsNode,
    "times": TimesNode,
    "sessions": SessionsNode,
    "streams": StreamsNode,
    "headers": HeadersNode,
    "statuses": StatusNode,
}
AnyNode = TypeVar("AnyNode", bound=Node)


def load_extras(path: str, settings: Settings | None) -> Extras:
    """Read and validate the file; raises ExtrasError. ``settings``: None for a process without settings."""
    try:
        with Path(path).open("rb") as file:
            raw = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise ExtrasError(f"{path}: {error.strerror}") from None
    if len(raw) > MAX_FILE_BYTES:
        raise ExtrasError(f"{path}: more than {MAX_FILE_BYTES} bytes")
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ExtrasError(f"{path}: byte {error.start}: not UTF-8") from None
    return read_extras(text, path, settings)


def read_extras(text: str, path: str, settings: Settings | None) -> Extras:
    """Parse and validate the file's text; ``path`` is used in messages. Raises ExtrasError."""
    try:
        document = ckdl.parse(text)
    except ckdl.ParseError as error:
        raise ExtrasError(f"{path}: line {_error_line(text)}: {error}") from None
    found: dict[str, Any] = {}
    for node in document.nodes:
        where = f"{path}: {node.name}"
        if node.name not in TOP_LEVEL_NODES:
            raise ExtrasError(f"{where}: unknown node{_suggestion(node.name, list(TOP_LEVEL_NODES))}")
        if node.name in found:
            raise ExtrasError(f"{where}: appears twice")
        if node.args or node.properties:
            raise ExtrasError(f"{where}: takes no values of its own, its values belong in child nodes")
        found[node.name] = TOP_LEVEL_NODES[node.name](node, path)
    for name in ("fleet", "control-tier"):
        if name in found and settings is not None and not settings.may_tell_peers:
            raise ExtrasError(
                f"{path}: {name}: the settings forbid messages between proxies (limits.peers is false)"
            )
    return Extras(path, **{name.replace("-", "_"): part for name, part in found.items()})


def _error_line(text: str) -> int:
    """Return the number of the first line at which the text can no longer be the start of a document."""
    lines = text.splitlines()
    for count in range(1, len(lines) + 1):
        try:
            ckdl.parse("\n".join(lines[:count]))
        except ckdl.ParseError as error:
            if "end of" not in str(error):
                return count
    return max(1, len(lines))


def _external_processor(node: ckdl.Node, path: str) -> ExternalProcessor:
    where = f"{path}: {node.name}"
    values: dict[str, Any] = {}
    for child, here in _children(node, where):
        if child.name == "listen":
            values["listen"] = _single_value(child, str, "an address HOST:PORT", here)
            _host_port(values["listen"], here)
        elif child.name == "own-links":
            values["own-links"] = _single_value(child, bool, "#true or #false", here)
        elif child.name == "services":
            for name in child.args:
                if name not in SERVICES:
                    raise ExtrasError(f"{here}: expected one of {', '.join(SERVICES)}, found {name!r}")
            if not child.args or child.properties or child.children:
                raise ExtrasError(f"{here}: expected names of services")
            values["services"] = tuple(child.args)
        elif child.name in PROPERTY_NODES:
            values[child.name] = _properties(child, PROPERTY_NODES[child.name], here)
        else:
            known = ["listen", "own-links", "services", *PROPERTY_NODES]
            raise ExtrasError(f"{here}: unknown node{_suggestion(child.name, known)}")
    if "listen" not in values:
        raise ExtrasError(f"{where}: expected a node listen, found none")
    return ExternalProcessor(**{name.replace("-", "_"): value for name, value in values.items()})


def _learned_state(node: ckdl.Node, path: str) -> LearnedState:
    where = f"{path}: {node.name}"
    values: dict[str, Any] = {}
    for child, here in _children(node, where):
        if child.name == "folder":
            values["folder"] = _single_value(child, str, "a path", here)
            if not values["folder"].startswith("/"):
                raise ExtrasError(f"{here}: expected a path from the root, found {values['folder']!r}")
        elif child.name == "times":
            values["times"] = _properties(child, TimesOfState, here)
        else:
            raise ExtrasError(f"{here}: unknown node{_suggestion(child.name, ['folder', 'times'])}")
    if "folder" not in values:
        raise ExtrasError(f"{where}: expected a node folder, found none")
    return LearnedState(**values)


def _host_port(text: Any, where: str) -> tuple[str, int]:
    host, colon, port = str(text).rpartition(":")
    if not isinstance(text, str) or not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise ExtrasError(f"{where}: expected HOST:PORT, found {text!r}")
    return host, int(port)


def _ipv4_address(text: Any, where: str) -> tuple[str, int]:
    """Parse a UDP address; it is announced to members unchanged, so it must not need name resolution."""
    host, port = _host_port(text, where)
    try:
        return str(ipaddress.IPv4Address(host)), port
    except ValueError:
        raise ExtrasError(f"{where}: expected an IPv4 address, found {host!r}") from None


def _fleet(node: ckdl.Node, path: str) -> Fleet:
    where = f"{path}: {node.name}"
    values: dict[str, Any] = {}
    texts = {"name": 64, "zone": 64, "secret": 256}  # maximum length in bytes
    addresses = ("listen", "advertise")
    parts: dict[str, type[Node]] = {"times": TimesOfFleet, "limits": LimitsOfFleet}
    for child, here in _children(node, where):
        if child.name in texts:
            values[child.name] = text = _single_value(child, str, "a text", here)
            if not 1 <= len(text.encode()) <= texts[child.name]:
                raise ExtrasError(f"{here}: expected 1 to {texts[child.name]} bytes, found {text!r}")
        elif child.name in addresses:
            values[child.name] = _ipv4_address(_single_value(child, str, "an address HOST:PORT", here), here)
        elif child.name == "seeds":
            if not 1 <= len(child.args) <= 32 or child.properties or child.children:
                raise ExtrasError(f"{here}: expected 1 to 32 addresses HOST:PORT, found {len(child.args)}")
            values["seeds"] = tuple(_ipv4_address(address, here) for address in child.args)
        elif child.name == "overload":
            values["overload"] = _single_value(child, bool, "#true or #false", here)
        elif child.name == "agreement":
            values["agreement"] = _agreement(child, here)
        elif child.name in parts:
            values[child.name] = _properties(child, parts[child.name], here)
        else:
            known = [*texts, *addresses, "seeds", "overload", "agreement", *parts]
            raise ExtrasError(f"{here}: unknown node{_suggestion(child.name, known)}")
    for name in ("name", "listen"):
        if name not in values:
            raise ExtrasError(f"{where}: expected a node {name}, found none")
    advertised = values.get("advertise", values["listen"])
    if advertised[0] == "0.0.0.0":
        raise ExtrasError(f"{where}: expected an address that others can reach (advertise), found 0.0.0.0")
    fleet = Fleet(**values)
    if fleet.times.probe_timeout_ms >= fleet.times.period_ms:
        raise ExtrasError(f"{where}/times: expected probe-timeout-ms below period-ms, found {fleet.times}")
    return fleet


def _agreement(node: ckdl.Node, where: str) -> AgreementPart:
    values: dict[str, Any] = {}
    for child, here in _children(node, where):
        if child.name == "voters":
            names = child.args
            if child.properties or child.children or not all(type(name) is str and name for name in names):
                raise ExtrasError(f"{here}: expected names of proxies, found {list(names)!r}")
            if len(set(names)) != len(names) or len(names) not in (1, 3, 5):
                raise ExtrasError(f"{here}: expected 1, 3 or 5 different names, found {list(names)!r}")
            values["voters"] = tuple(names)
        elif child.name in ("folder", "rules"):
            values[child.name] = _single_value(child, str, "a path", here)
        elif child.name == "bound-ms":
            if len(child.args) != 1 or type(child.args[0]) not in (int, float):
                raise ExtrasError(f"{here}: expected ms, found {list(child.args)!r}")
            values["bound_ms"] = float(child.args[0])
            if not 500 <= values["bound_ms"] <= 60_000:
                raise ExtrasError(f"{here}: expected 500 to 60000, found {child.args[0]}")
        else:
            known = ["voters", "bound-ms", "folder", "rules"]
            raise ExtrasError(f"{here}: unknown node{_suggestion(child.name, known)}")
    if "voters" not in values:
        raise ExtrasError(f"{where}: expected a node voters, found none")
    return AgreementPart(**values)


def _control_tier(node: ckdl.Node, path: str) -> ControlTierPart:
    """Parse ``control-tier``: the lease to ask for, and the ``nodes`` to ask."""
    where = f"{path}: {node.name}"
    texts = {"fleet": 64, "secret": 256, "region": 32, "zone": 32, "service": 32, "server": 64}
    values = _control_values(node, where, texts, gossip=False)
    _require(values, ("fleet", "region", "zone", "service", "nodes"), where)
    return ControlTierPart(**values)


def _control_node(node: ckdl.Node, path: str) -> ControlNodePart:
    where = f"{path}: {node.name}"
    values = _control_values(node, where, {"fleet": 64, "secret": 256, "name": 64}, gossip=True)
    _require(values, ("fleet", "name", "nodes"), where)
    part = ControlNodePart(**values)
    if part.name not in (address.name for address in part.nodes):
        raise ExtrasError(f"{where}/name: expected one of the nodes, found {part.name!r}")
    return part


def _control_values(node: ckdl.Node, where: str, texts: dict[str, int], gossip: bool) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for child, here in _children(node, where):
        if child.name in texts:
            values[child.name] = text = _single_value(child, str, "a text", here)
            if not 1 <= len(text.encode()) <= texts[child.name]:
                raise ExtrasError(f"{here}: expected 1 to {texts[child.name]} bytes, found {text!r}")
        elif child.name == "calls" and not gossip:
            if child.properties or child.children or not all(type(name) is str for name in child.args):
                raise ExtrasError(f"{here}: expected names of services, found {list(child.args)!r}")
            if len(child.args) > MAX_SERVICES:
                raise ExtrasError(
                    f"{here}: expected {MAX_SERVICES} services at most, found {len(child.args)}"
                )
            values["calls"] = tuple(child.args)
        elif child.name == "nodes":
            values["nodes"] = tuple(
                _control_address(address, path, gossip) for address, path in _children(child, here)
            )
        else:
            raise ExtrasError(f"{here}: unknown node{_suggestion(child.name, [*texts, 'calls', 'nodes'])}")
    return values


def _control_address(node: ckdl.Node, where: str, gossip: bool) -> ControlAddress:
    wanted = ("region", "address", "gossip") if gossip else ("region", "address")
    if node.args or node.children or not set(wanted) <= set(node.properties) <= {*wanted, "gossip"}:
        raise ExtrasError(f"{where}: expected the properties {', '.join(wanted)}")
    values = {
        name: str(value) if name == "region" else _ipv4_address(value, f"{where}: {name}")
        for name, value in node.properties.items()
    }
    return ControlAddress(node.name, **values)  # type: ignore[arg-type]


def _require(values: dict[str, Any], names: tuple[str, ...], where: str) -> None:
    for name in names:
        if not values.get(name):
            raise ExtrasError(f"{where}: expected a node {name}, found none")


TOP_LEVEL_NODES: dict[str, Callable[[ckdl.Node, str], Any]] = {
    "external-processor": _external_processor,
    "learned-state": _learned_state,
    "fleet": _fleet,
    "control-tier": _control_tier,
    "control-node": _control_node,
}


def _children(node: ckdl.Node, where: str) -> Iterator[tuple[ckdl.Node, str]]:
    """Yield the child nodes, each with its path for messages; raises ExtrasError for a repeated name."""
    seen: set[str] = set()
    for child in node.children:
        here = f"{where}/{child.name}"
        if child.name in seen:
            raise ExtrasError(f"{here}: appears twice")
        seen.add(child.name)
        yield child, here


def _single_value(node: ckdl.Node, kind: type, expected: str, where: str) -> Any:
    if len(node.args) != 1 or node.properties or node.children or type(node.args[0]) is not kind:
        found = ", ".join(repr(value) for value in node.args) or "none"
        raise ExtrasError(f"{where}: expected {expected}, found {found}")
    return node.args[0]


def _properties(node: ckdl.Node, kind: type[AnyNode], where: str) -> AnyNode:
    if node.args or node.children:
        raise ExtrasError(f"{where}: expected properties NAME=VALUE only")
    names = [field.encode_name for field in msgspec.structs.fields(kind)]
    for name, value in node.properties.items():
        if name not in names:
            raise ExtrasError(f"{where}: {name}: unknown property{_suggestion(name, names)}")
        try:
            msgspec.convert({name: value}, kind)
        except msgspec.ValidationError as error:
            message = str(error).split(" - at ")[0]
            raise ExtrasError(
                f"{where}: {name}: {message[0].lower()}{message[1:]}, found {value!r}"
            ) from None
    return msgspec.convert(node.properties, kind)


def _suggestion(name: str, known: list[str]) -> str:
    near = difflib.get_close_matches(name, known, 1)
    return f"; did you mean {near[0]}?" if near else f"; known are {', '.join(known)}"
