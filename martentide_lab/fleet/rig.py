"""Fleet of real proxy processes with simulated session servers, discovery service and callers, and faults
between all of them. One event log on one clock; the members' events are read from their log lines."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import psutil

from martentide.fleet.wire import State
from martentide.net.fleet.show import query
from martentide_lab.call_ledger import CallFault
from martentide_lab.callers import TIME_LEFT_MS, LoadGenerator
from martentide_lab.checker import check_servers
from martentide_lab.fleet.faults import Link, Network
from martentide_lab.fleet.hub import Hub
from martentide_lab.fleet.invariants import Bounds, FleetChecker, Violation
from martentide_lab.fleet.scenario import Event, Scenario, Step, split_names
from martentide_lab.fleet.simulated import apply_to_network
from martentide_lab.proxy import CLASSES, PROJECT_ROOT, ProxyProcess
from martentide_lab.relay import Relay
from martentide_lab.servers import GONE, READY, DiscoveryServer, SessionServer

ZONES = ("sofia", "plovdiv", "varna")
STATES = {state.name.lower(): int(state) for state in State}


CLOCK_FILE = "clock-offset"
CLOCK_CODE = """
import threading, time
real_time, started_at = time.time, time.time()
def read():
    offset, drift = open({path!r}).read().split()
    return float(offset), float(drift)
clock = [read()]
def follow():
    while True:
        try:
            clock[0] = read()
        except (OSError, ValueError):
            pass
        time.sleep(0.02)
def shifted_time():
    now, (offset, drift) = real_time(), clock[0]
    return now + offset + (now - started_at) * drift
time.time = shifted_time
threading.Thread(target=follow, daemon=True).start()
"""


def python_environment(folder: Path, clock_offset: float | None, mutant: str) -> dict[str, str]:
    """Environment for a process that runs injected code at its start: ``mutant``, a fault that the checkers
    have to find; and, unless ``clock_offset`` (s) is None, a wall clock that follows a file with the offset
    from the real time in s, and the drift in s per s since the start."""
    code = mutant
    if clock_offset is not None:
        (folder / CLOCK_FILE).write_text(f"{clock_offset} 0.0")
        code += CLOCK_CODE.format(path=str(folder / CLOCK_FILE))
    (folder / "sitecustomize.py").write_text(code)
    return {"PYTHONPATH": os.pathsep.join((str(folder), str(PROJECT_ROOT)))}


def parse_log_fields(line: str) -> dict[str, str]:
    """The name=value pairs of a log line; a quoted value is cut at its first blank."""
    return dict(part.split("=", 1) for part in line.split() if "=" in part)


class Rig:
    """Runs a scenario: ``async with Rig(scenario) as rig: await rig.play()``; then ``rig.violations()``.

    ``extra_settings`` is added to the fleet node in the extras of each member, or by name for some members;
    the first ``seed_count`` members are seeds of all.
    """

    def __init__(
        self,
        scenario: Scenario,
        *,
        with_fleet: bool = True,
        extra_settings: str | Mapping[str, str] = "",
        seed_count: int = 3,
        base: Link | None = None,
        with_load: bool = True,
        clock_offsets: Mapping[str, float] | None = None,  # s added to members' wall clocks
        on_progress: Callable[[Rig], None] | None = None,
        redials: int = 0,  # per caller that was refused or whose call failed
        shares: Sequence[float] | None = None,  # of each class in the calls
        mutant: str = "",  # code that every member runs at its start
    ) -> None:
        self.mutant = mutant
        self.redials, self.shares = redials, shares
        self.scenario, self.with_fleet, self.extra_settings, self.seed_count, self.with_load = (
            scenario,
            with_fleet,
            extra_settings,
            seed_count,
            with_load,
        )
        self.on_progress, self.clock_offsets = on_progress, dict(clock_offsets or {})
        for step in scenario.steps:
            if step.verb in ("clock", "pace"):
                self.clock_offsets |= {
                    name: 0.0 for name in split_names(step.arguments[0]) if name not in self.clock_offsets
                }
        self.address_overrides: dict[str, dict[str, str]] = {}
        self.network = Network(base)
        self.hub = Hub(self.network, scenario.seed)
        self.rng = random.Random(scenario.seed)
        self.discovery = DiscoveryServer()
        self.servers = [SessionServer(number) for number in range(scenario.servers)]
        self.proxies: dict[str, ProxyProcess] = {}
        self.ended_proxies: list[ProxyProcess] = []  # killed or replaced; kept for their logs
        self.relays: dict[tuple[str, str], Relay] = {}
        self.load_generators: dict[str, LoadGenerator] = {}
        self.all_load_generators: list[tuple[str, LoadGenerator]] = []
        self.load_tasks: dict[str, asyncio.Task[None]] = {}
        self.starvation_tasks: dict[str, asyncio.Task[None]] = {}
        self.log: list[Event] = []
        self.views: dict[str, dict[str, int]] = {}  # by observer: the states that it holds of others
        # Proxy, from, until (ms): call faults at the proxy are no violations then, except two final answers.
        self.excused_periods: list[tuple[str, float, float]] = []
        self.started_at = time.monotonic()
        self.scenario_started_at = 0.0  # ms since the start of the log
        self.loop = asyncio.get_running_loop()
        self.changed = asyncio.Event()

    # ---- start and end ----------------------------------------------------------------------------------

    async def __aenter__(self) -> Rig:
        try:
            await self.discovery.start()
            for server in self.servers:
                await server.start()
            for name in self.scenario.names():
                await self._open_addresses(name)
            await asyncio.gather(*(self._start_process(name) for name in self.scenario.names()))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        tasks = (*self.load_tasks.values(), *self.starvation_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for proxy in (*self.proxies.values(), *self.ended_proxies):
            await proxy.kill()
        for relay in self.relays.values():
            await relay.stop()
        for server in self.servers:
            await server.stop()
        await self.discovery.stop()
        self.hub.close()

    def now(self) -> float:
        """ms since the start of the log."""
        return (time.monotonic() - self.started_at) * 1000.0

    def record(self, kind: str, observer: str, subject: str = "", **fields: Any) -> None:
        """Add an event to the log and wake all callers of ``wait_until``."""
        self.log.append(Event(self.now(), kind, observer, subject, fields))
        if kind == "started":
            self.views[observer] = {}
        elif kind == "member":
            self.views.setdefault(observer, {})[subject] = fields["state"]
        self.changed.set()
        self.changed = asyncio.Event()

    def zone(self, name: str) -> str:
        """The zone of a member."""
        return ZONES[int(name[1:]) % min(self.scenario.zones, len(ZONES))]

    async def _open_addresses(self, name: str) -> None:
        if self.with_fleet:
            await self.hub.open(name)
        addresses = {}
        for target, address in [(f"s{server.number}", server.address) for server in self.servers] + [
            ("board", self.discovery.address)
        ]:
            relay = self.relays[(name, target)] = Relay(address)
            await relay.start()
            key = target if target == "board" else self.servers[int(target[1:])].name
            addresses[key] = relay.address
        self.address_overrides[name] = addresses

    def extras(self, name: str) -> str:
        """The extras (KDL) of a member, with its fleet node."""
        public_address = self.hub.public_address(name)
        seeds = " ".join(
            f'"{host}:{port}"'
            for host, port in map(self.hub.public_address, self.scenario.names()[: self.seed_count])
        )
        extra = (
            self.extra_settings if isinstance(self.extra_settings, str) else self.extra_settings.get(name, "")
        )
        return (
            f'fleet {{\n    name "rig"\n    listen "127.0.0.1:0"\n'
            f'    advertise "{public_address[0]}:{public_address[1]}"\n'
            f'    zone "{self.zone(name)}"\n    seeds {seeds}\n    {extra}\n}}\n'
        )

    async def _start_process(self, name: str, member_name: str | None = None, fleet: str = "rig") -> None:
        """Start a member's process, the relay of its callers, and its load.

        ``member_name`` is its name in the fleet if that isn't ``name``; ``fleet`` is the name of the fleet.
        """
        extras = self.extras(name).replace('"rig"', f'"{fleet}"') if self.with_fleet else None
        proxy = ProxyProcess(
            self.discovery, self.servers, extras, True, name=member_name or name,
            address_overrides=self.address_overrides[name], peers=self.with_fleet, connect_timeout_ms=300.0,
        )  # fmt: skip
        if name in self.clock_offsets or self.mutant:
            proxy.environment = python_environment(proxy.folder, self.clock_offsets.get(name), self.mutant)
        proxy.on_log_line = lambda _, line: self._handle_log_line(name, line)
        self.proxies[name] = proxy
        await proxy.start()
        if not self.with_fleet:
            self.record("started", name, name, life=0)
        if (old := self.relays.pop(("callers", name), None)) is not None:
            await old.stop()
        relay = self.relays[("callers", name)] = Relay(proxy.caller_address)
        await relay.start()
        self._update_relays()
        self._start_load(name)

    def _start_load(self, name: str) -> None:
        if not self.with_load:
            return
        classes = [kind[0] for kind in CLASSES]
        rate = self.scenario.rate / self.scenario.proxies
        relay = self.relays[("callers", name)]
        seed = self.rng.getrandbits(32)
        load = LoadGenerator(
            relay.address, classes, rate, seed, self.redials, self.shares, bool(self.redials)
        )
        self.load_generators[name] = load
        self.all_load_generators.append((name, load))
        self.load_tasks[name] = self.loop.create_task(load.run())

    def _handle_log_line(self, name: str, line: str) -> None:
        """Record the event that a member's log line reports, if any."""
        if "fleet-" not in line:
            if "internal-error" in line or "Traceback" in line:
                self.record("error", name, name, line=line)
            return
        fields = parse_log_fields(line)
        if "fleet-joining" in line:
            host, _, port = fields["address"].rpartition(":")
            self.hub.set_member_address(name, (host, int(port)))
            self.record("started", name, name, life=int(fields["life"]))
        elif "fleet-member" in line:
            old = STATES.get(fields["was"])
            evidence = line.split("evidence='", 1)[-1].split("'", 1)[0]
            self.record(
                "member", name, fields["member"], state=STATES[fields["state"]], old=old, by=fields["by"],
                evidence=evidence, life=int(fields["life"]),
            )  # fmt: skip
        elif "fleet-displaced" in line:
            self.record("displaced", name, name, life=int(fields["life"]))
        elif "fleet-overload" in line:
            self.record("overload", name, name, phase=fields["phase"], admitted=float(fields["admitted"]))
        elif "fleet-version" in line:
            self.record("version", name, name, number=int(fields["version"]), joint=int(fields["joint"]),
                        rules=fields["rules"])  # fmt: skip
        elif "fleet-in-force" in line:
            detail = line.split("detail='", 1)[-1].split("'", 1)[0].split()
            self.record("in-force", name, name, number=int(detail[1]), by=detail[3])
        elif "fleet-late" in line:
            self.record("late", name, name, span=float(fields["ms"]))
        elif "fleet-passed-over" in line:
            self.record("passed-over", name, name, line=line)

    # ---- steps ------------------------------------------------------------------------------------------

    async def play(self) -> list[Event]:
        """Run all steps at their times, counted from now, until the scenario's end; returns the event log."""
        begin = self.scenario_started_at = self.now()
        for step in self.scenario.steps:
            await self._sleep_until(begin + step.at)
            await self.execute_step(step)
        await self._sleep_until(begin + self.scenario.seconds * 1000.0)
        return self.log

    async def _sleep_until(self, when: float) -> None:
        while (remaining := when - self.now()) > 0:
            if self.on_progress is not None:
                self.on_progress(self)
            await asyncio.sleep(min(remaining / 1000.0, 0.25 if self.on_progress is not None else 60.0))

    async def execute_step(self, step: Step) -> None:
        """Carry out one step of a scenario."""
        names = (
            split_names(step.arguments[0]) if step.arguments and isinstance(step.arguments[0], str) else []
        )
        match step.verb:
            case "kill" | "term":
                for name in names:
                    await self.end_member(name, step.verb)
            case "start":
                await asyncio.gather(*(self.start_member(name) for name in names))
            case "stop" | "continue":
                for name in names:
                    self._stop_or_continue(name, step.verb)
            case "starve" | "feed":
                for name in names:
                    self._set_starved(name, step.verb)
            case "clock" | "pace":
                for name in names:
                    self.set_clock(name, **{"ahead" if step.verb == "clock" else "pace": step.arguments[1]})
            case "upgrade":
                await asyncio.gather(*(self.upgrade(name) for name in names))
            case "server":
                await asyncio.gather(*(self._set_server_state(name, step.arguments[1]) for name in names))
            case "surge":
                self._set_load_factor(list(self.load_generators), step.arguments[0])
            case "surge-at":
                self._set_load_factor(names, step.arguments[1])
            case _:
                apply_to_network(self.network, step)
                self.record("fault", "network", step.verb, arguments=step.arguments)
                self._update_relays()

    def _set_load_factor(self, names: Sequence[str], factor: float) -> None:
        for name in names:
            if (load := self.load_generators.get(name)) is not None:
                load.rate = self.scenario.rate / self.scenario.proxies * factor
                self.record("surge", name, name, times=factor)

    async def start_member(self, name: str, member_name: str | None = None, fleet: str = "rig") -> None:
        """Start an ended member again, or a further one that the scenario doesn't name."""
        if name not in self.proxies:
            if name not in self.address_overrides:
                await self._open_addresses(name)
            await self._start_process(name, member_name, fleet)

    def set_clock(self, name: str, ahead: float = 0.0, pace: float = 0.0) -> None:
        """Set the member's wall clock ``ahead`` s ahead, gaining ``pace`` s per s since its start.

        Only for members that ``clock_offsets`` or a ``clock`` or ``pace`` step of the scenario names.
        """
        (self.proxies[name].folder / CLOCK_FILE).write_text(f"{ahead} {pace}")
        self.record("clock", name, name, ahead=ahead, pace=pace)

    async def end_member(self, name: str, verb: str) -> None:
        """End a member by SIGKILL (``kill``) or SIGTERM (any other verb)."""
        proxy = self.proxies.pop(name, None)
        if proxy is None:
            return
        self.ended_proxies.append(proxy)
        self.excused_periods.append((name, self.now() - TIME_LEFT_MS - 500.0, float("inf")))
        proxy.on_log_line = None
        if verb == "kill":
            assert proxy.process is not None
            self.record("killed", name, name)
            await proxy.kill()
        else:
            proxy.send_signal(signal.SIGTERM)
            self.record("left", name, name)
        if (task := self.load_tasks.pop(name, None)) is not None:
            task.cancel()
        self.load_generators.pop(name, None)

    def _stop_or_continue(self, name: str, verb: str) -> None:
        proxy = self.proxies.get(name)
        if proxy is None:
            return
        if verb == "stop":
            proxy.send_signal(signal.SIGSTOP)
            self.excused_periods.append((name, self.now() - TIME_LEFT_MS - 500.0, float("inf")))
            self.record("stopped", name, name)
        else:
            proxy.send_signal(signal.SIGCONT)
            self._end_excused_period(name)
            self.record("continued", name, name)

    def _set_starved(self, name: str, verb: str) -> None:
        """Suspend the process nine tenths of the time (``starve``), or end that (``feed``)."""
        if (task := self.starvation_tasks.pop(name, None)) is not None:
            task.cancel()
        if verb == "starve" and name in self.proxies:
            self.record("starved", name, name)
            self.excused_periods.append((name, self.now() - TIME_LEFT_MS - 500.0, float("inf")))
            self.starvation_tasks[name] = self.loop.create_task(self._starve_process(self.proxies[name]))
        elif name in self.proxies:
            self.record("fed", name, name)
            self._end_excused_period(name)

    @staticmethod
    async def _starve_process(proxy: ProxyProcess) -> None:
        try:
            while proxy.process is not None and proxy.process.returncode is None:
                proxy.send_signal(signal.SIGSTOP)
                await asyncio.sleep(0.25)
                proxy.send_signal(signal.SIGCONT)
                await asyncio.sleep(0.03)
        finally:
            if proxy.process is not None and proxy.process.returncode is None:
                proxy.send_signal(signal.SIGCONT)

    def _end_excused_period(self, name: str) -> None:
        """End the excused period of a member, 500 ms from now."""
        for position, (proxy, since, until) in enumerate(self.excused_periods):
            if proxy == name and until == float("inf"):
                self.excused_periods[position] = (proxy, since, self.now() + 500.0)

    async def upgrade(self, name: str) -> None:
        """Start a successor process that takes over, then send SIGTERM to the predecessor."""
        predecessor = self.proxies.get(name)
        if predecessor is None:
            return
        self.record("upgrade", name, name)
        successor = await predecessor.start_successor()
        self.proxies[name] = successor
        self.ended_proxies.append(predecessor)
        predecessor.send_signal(signal.SIGTERM)

    async def _set_server_state(self, name: str, state: str) -> None:
        server = self.servers[int(name[1:])]
        self.record("server", "board", name, word=state)
        behavior = server.behavior
        behavior.ignore_set_ups = behavior.ignore_health_checks = behavior.refuse = behavior.error = False
        match state:
            case "hung":
                behavior.ignore_set_ups = behavior.ignore_health_checks = True
            case "mute":
                behavior.ignore_set_ups = True
            case "full":
                behavior.refuse = True
            case "error":
                behavior.error = True
            case "gone":
                await server.stop(reset=True)
                self.discovery.publish([(server, GONE)])
            case "back":
                await server.start()
                self.discovery.publish([(server, READY)])

    def _update_relays(self) -> None:
        """Pause the relays of cut TCP paths by direction; connections stay open, as on a real network."""
        for (source, target), relay in self.relays.items():
            forward, backward = self.network.link((source, target)), self.network.link((target, source))
            relay.pause(forward.cut, backward.cut)

    # ---- observations -----------------------------------------------------------------------------------

    async def wait_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Wait until the condition holds; returns the ms it took. Raises TimeoutError after ``limit_s``."""
        begin = self.now()
        async with asyncio.timeout(limit_s):
            while not condition():
                await self.changed.wait()
        return self.now() - begin

    def is_converged(self, names: Sequence[str] | None = None) -> bool:
        """Whether the named members (default: all that run) hold each other as alive, and no other member."""
        running = set(self.proxies if names is None else names)
        return all(
            {subject for subject, state in self.views.get(name, {}).items() if state < State.DEAD}
            == running - {name}
            for name in running
        )

    def no_member_sheds(self) -> bool:
        """Whether no running member sheds calls, by the last overload phase that each logged."""
        last: dict[str, str] = {}
        for event in self.log:
            if event.kind == "started":
                last.pop(event.observer, None)
            elif event.kind == "overload":
                last[event.observer] = event.fields["phase"]
        return all(phase == "normal" for name, phase in last.items() if name in self.proxies)

    def are_known_dead(self, *names: str, by: Sequence[str] | None = None) -> bool:
        """Whether all other members that run (or those in ``by``) hold the named members as dead or left."""
        observers = [observer for observer in (self.proxies if by is None else by) if observer not in names]
        return all(
            self.views.get(observer, {}).get(name, State.DEAD) >= State.DEAD
            for observer in observers
            for name in names
        )

    async def status(self, name: str) -> dict[str, Any]:
        """The output of ``fleet show`` at the member."""
        text = await asyncio.to_thread(query, self.proxies[name].operator_address)
        status: dict[str, Any] = json.loads(text)
        return status

    def resident_memory_mb(self, name: str) -> float:
        """Resident memory of the member's process in MB."""
        return self.proxies[name].resident_memory_mb()

    def violations(self, bounds: Bounds | None = None) -> list[str]:
        """All violations as texts: the fleet's invariants, and the rules of the platform for calls."""
        found: list[Violation | str] = []
        if self.with_fleet:
            found += FleetChecker(self.scenario.names(), bounds or Bounds()).check(self.log, self.now())
        found += [f"error: {event}" for event in self.log if event.kind == "error"]
        _, server_violations = check_servers(self.servers, {})
        found += server_violations
        log_to_loop_ms = self.loop.time() * 1000.0 - self.now()
        for name, load in self.all_load_generators:
            for fault, offered_at in load.faults():
                when = offered_at - log_to_loop_ms
                excused = any(
                    proxy == name and since <= when <= until for proxy, since, until in self.excused_periods
                )
                if fault is CallFault.DOUBLED or not excused:
                    found.append(f"{fault.value}: a call at {name}, offered at {when / 1000:.3f} s")
        return [str(violation) for violation in found]

    def recent_events(self, count: int = 60) -> str:
        """The last events of the log, one on a line."""
        return "\n".join(map(str, self.log[-count:]))


def cpu_seconds(proxy: ProxyProcess) -> float:
    """CPU time (s) that the proxy's process has used, in user and system mode."""
    assert proxy.process is not None
    times = psutil.Process(proxy.process.pid).cpu_times()
    return float(times.user + times.system)
