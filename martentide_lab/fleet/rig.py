"""Several real processes of the program, with servers, board and callers of the stand-ins, and faults between
all of them. One event log on one clock; what members say comes from their log lines."""

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
true, begin = time.time, time.time()
def read():
    ahead, pace = open({path!r}).read().split()
    return float(ahead), float(pace)
clock = [read()]
def follow():
    while True:
        try:
            clock[0] = read()
        except (OSError, ValueError):
            pass
        time.sleep(0.02)
def shown():
    now, (ahead, pace) = true(), clock[0]
    return now + ahead + (now - begin) * pace
time.time = shown
threading.Thread(target=follow, daemon=True).start()
"""


def python_environment(folder: Path, ahead: float | None, mutant: str) -> dict[str, str]:
    """Environment for a process that begins with some code of its own: ``mutant``, a fault that checkers
    have to find; and, unless ``ahead`` is None, a wall clock that follows a file, in s ahead of the true
    one, and s that it gains in each since the start."""
    code = mutant
    if ahead is not None:
        (folder / CLOCK_FILE).write_text(f"{ahead} 0.0")
        code += CLOCK_CODE.format(path=str(folder / CLOCK_FILE))
    (folder / "sitecustomize.py").write_text(code)
    return {"PYTHONPATH": os.pathsep.join((str(folder), str(PROJECT_ROOT)))}


def parse_log_fields(line: str) -> dict[str, str]:
    """name=value pairs of a log line; quoted values hold no blanks that matter here."""
    return dict(part.split("=", 1) for part in line.split() if "=" in part)


class Rig:
    """Plays a script: ``async with Rig(scenario) as rig: await rig.play()``; then ``rig.violations()``.

    ``extra_settings`` is text for each member's fleet node, or by name for some; ``seed_count`` how many
    members are everybody's seeds.
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
        clock_offsets: Mapping[str, float] | None = None,  # s that members' wall clocks are ahead
        on_progress: Callable[[Rig], None] | None = None,
        redials: int = 0,  # of a caller that was refused or failed
        shares: Sequence[float] | None = None,  # of the classes
        mutant: str = "",  # code that every member begins with
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
        self.servers = [SessionServer(at) for at in range(scenario.servers)]
        self.proxies: dict[str, ProxyProcess] = {}
        self.ended_proxies: list[ProxyProcess] = []  # that were killed or replaced, with their logs
        self.relays: dict[tuple[str, str], Relay] = {}
        self.load_generators: dict[str, LoadGenerator] = {}
        self.all_load_generators: list[tuple[str, LoadGenerator]] = []
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.starving: dict[str, asyncio.Task[None]] = {}
        self.log: list[Event] = []
        self.views: dict[str, dict[str, int]] = {}  # by observer: the states it holds of others
        self.excused_periods: list[
            tuple[str, float, float]
        ] = []  # proxy, from, until: calls then are not owed
        self.started_at = time.monotonic()
        self.scenario_started_at = 0.0  # when the script began
        self.loop = asyncio.get_running_loop()
        self.changed = asyncio.Event()

    # ---- life -------------------------------------------------------------------------------------------

    async def __aenter__(self) -> Rig:
        try:
            await self.discovery.start()
            for server in self.servers:
                await server.start()
            for name in self.scenario.names():
                await self._prepare(name)
            await asyncio.gather(*(self._start(name) for name in self.scenario.names()))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        tasks = (*self.tasks.values(), *self.starving.values())
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
        """ms since the begin."""
        return (time.monotonic() - self.started_at) * 1000.0

    def record(self, kind: str, who: str, about: str = "", **fields: Any) -> None:
        self.log.append(Event(self.now(), kind, who, about, fields))
        if kind == "started":
            self.views[who] = {}
        elif kind == "member":
            self.views.setdefault(who, {})[about] = fields["state"]
        self.changed.set()
        self.changed = asyncio.Event()

    def zone(self, name: str) -> str:
        return ZONES[int(name[1:]) % min(self.scenario.zones, len(ZONES))]

    async def _prepare(self, name: str) -> None:
        if self.with_fleet:
            await self.hub.open(name)
        via = {}
        for target, address in [(f"s{one.number}", one.address) for one in self.servers] + [
            ("board", self.discovery.address)
        ]:
            relay = self.relays[(name, target)] = Relay(address)
            await relay.start()
            key = target if target == "board" else self.servers[int(target[1:])].name
            via[key] = relay.address
        self.address_overrides[name] = via

    def extras(self, name: str) -> str:
        told = self.hub.public_address(name)
        seeds = " ".join(
            f'"{host}:{port}"'
            for host, port in map(self.hub.public_address, self.scenario.names()[: self.seed_count])
        )
        extra = (
            self.extra_settings if isinstance(self.extra_settings, str) else self.extra_settings.get(name, "")
        )
        return (
            f'fleet {{\n    name "rig"\n    listen "127.0.0.1:0"\n    advertise "{told[0]}:{told[1]}"\n'
            f'    zone "{self.zone(name)}"\n    seeds {seeds}\n    {extra}\n}}\n'
        )

    async def _start(self, name: str, member_name: str | None = None, fleet: str = "rig") -> None:
        """``member_name``: another name than that of its place here; ``fleet``: of another fleet."""
        extras = self.extras(name).replace('"rig"', f'"{fleet}"') if self.with_fleet else None
        proxy = ProxyProcess(
            self.discovery, self.servers, extras, True, name=member_name or name,
            address_overrides=self.address_overrides[name], peers=self.with_fleet, connect_timeout_ms=300.0,
        )  # fmt: skip
        if name in self.clock_offsets or self.mutant:
            proxy.environment = python_environment(proxy.folder, self.clock_offsets.get(name), self.mutant)
        proxy.on_log_line = lambda _, line: self._said(name, line)
        self.proxies[name] = proxy
        await proxy.start()
        if not self.with_fleet:
            self.record("started", name, name, life=0)
        if (old := self.relays.pop(("callers", name), None)) is not None:
            await old.stop()
        relay = self.relays[("callers", name)] = Relay(proxy.caller_address)
        await relay.start()
        self._relays()
        self._offer(name)

    def _offer(self, name: str) -> None:
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
        self.tasks[name] = self.loop.create_task(load.run())

    def _said(self, name: str, line: str) -> None:
        """A log line of a member."""
        if "fleet-" not in line:
            if "internal-error" in line or "Traceback" in line:
                self.record("error", name, name, line=line)
            return
        said = parse_log_fields(line)
        if "fleet-joining" in line:
            host, _, port = said["address"].rpartition(":")
            self.hub.set_member_address(name, (host, int(port)))
            self.record("started", name, name, life=int(said["life"]))
        elif "fleet-member" in line:
            old = STATES.get(said["was"])
            evidence = line.split("evidence='", 1)[-1].split("'", 1)[0]
            self.record(
                "member", name, said["member"], state=STATES[said["state"]], old=old, by=said["by"],
                evidence=evidence, life=int(said["life"]),
            )  # fmt: skip
        elif "fleet-displaced" in line:
            self.record("displaced", name, name, life=int(said["life"]))
        elif "fleet-overload" in line:
            self.record("overload", name, name, phase=said["phase"], admitted=float(said["admitted"]))
        elif "fleet-version" in line:
            self.record("version", name, name, number=int(said["version"]), joint=int(said["joint"]),
                        rules=said["rules"])  # fmt: skip
        elif "fleet-in-force" in line:
            detail = line.split("detail='", 1)[-1].split("'", 1)[0].split()
            self.record("in-force", name, name, number=int(detail[1]), by=detail[3])
        elif "fleet-late" in line:
            self.record("late", name, name, span=float(said["ms"]))
        elif "fleet-passed-over" in line:
            self.record("passed-over", name, name, line=line)

    # ---- the script -------------------------------------------------------------------------------------

    async def play(self) -> list[Event]:
        """All steps in their time, counted from now, until the script's end."""
        begin = self.scenario_started_at = self.now()
        for step in self.scenario.steps:
            await self._until(begin + step.at)
            await self.execute_step(step)
        await self._until(begin + self.scenario.seconds * 1000.0)
        return self.log

    async def _until(self, when: float) -> None:
        while (left := when - self.now()) > 0:
            if self.on_progress is not None:
                self.on_progress(self)
            await asyncio.sleep(min(left / 1000.0, 0.25 if self.on_progress is not None else 60.0))

    async def execute_step(self, step: Step) -> None:
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
                    self._stop_or_wake(name, step.verb)
            case "starve" | "feed":
                for name in names:
                    self._starve(name, step.verb)
            case "clock" | "pace":
                for name in names:
                    self.set_clock(name, **{"ahead" if step.verb == "clock" else "pace": step.arguments[1]})
            case "upgrade":
                await asyncio.gather(*(self.upgrade(name) for name in names))
            case "server":
                await asyncio.gather(*(self._server(name, step.arguments[1]) for name in names))
            case "surge":
                self._surge(list(self.load_generators), step.arguments[0])
            case "surge-at":
                self._surge(names, step.arguments[1])
            case _:
                apply_to_network(self.network, step)
                self.record("fault", "network", step.verb, arguments=step.arguments)
                self._relays()

    def _surge(self, names: Sequence[str], times: float) -> None:
        for name in names:
            if (load := self.load_generators.get(name)) is not None:
                load.rate = self.scenario.rate / self.scenario.proxies * times
                self.record("surge", name, name, times=times)

    async def start_member(self, name: str, member_name: str | None = None, fleet: str = "rig") -> None:
        """Start a member anew, or one that the script does not name, at a place of its own."""
        if name not in self.proxies:
            if name not in self.address_overrides:
                await self._prepare(name)
            await self._start(name, member_name, fleet)

    def set_clock(self, name: str, ahead: float = 0.0, pace: float = 0.0) -> None:
        """The member's wall clock jumps to so many s ahead, and gains ``pace`` s in each since its start; it
        was named in ``clock_offsets``."""
        (self.proxies[name].folder / CLOCK_FILE).write_text(f"{ahead} {pace}")
        self.record("clock", name, name, ahead=ahead, pace=pace)

    async def end_member(self, name: str, verb: str) -> None:
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
        if (task := self.tasks.pop(name, None)) is not None:
            task.cancel()
        self.load_generators.pop(name, None)

    def _stop_or_wake(self, name: str, verb: str) -> None:
        proxy = self.proxies.get(name)
        if proxy is None:
            return
        if verb == "stop":
            proxy.send_signal(signal.SIGSTOP)
            self.excused_periods.append((name, self.now() - TIME_LEFT_MS - 500.0, float("inf")))
            self.record("stopped", name, name)
        else:
            proxy.send_signal(signal.SIGCONT)
            self._forgive(name)
            self.record("continued", name, name)

    def _starve(self, name: str, verb: str) -> None:
        """Keep the process from the processor nine tenths of the time, until it is fed again."""
        if (task := self.starving.pop(name, None)) is not None:
            task.cancel()
        if verb == "starve" and name in self.proxies:
            self.record("starved", name, name)
            self.excused_periods.append((name, self.now() - TIME_LEFT_MS - 500.0, float("inf")))
            self.starving[name] = self.loop.create_task(self._keep_from_running(self.proxies[name]))
        elif name in self.proxies:
            self.record("fed", name, name)
            self._forgive(name)

    @staticmethod
    async def _keep_from_running(proxy: ProxyProcess) -> None:
        try:
            while proxy.process is not None and proxy.process.returncode is None:
                proxy.send_signal(signal.SIGSTOP)
                await asyncio.sleep(0.25)
                proxy.send_signal(signal.SIGCONT)
                await asyncio.sleep(0.03)
        finally:
            if proxy.process is not None and proxy.process.returncode is None:
                proxy.send_signal(signal.SIGCONT)

    def _forgive(self, name: str) -> None:
        """From now on calls at the member are owed again."""
        for at, (who, since, until) in enumerate(self.excused_periods):
            if who == name and until == float("inf"):
                self.excused_periods[at] = (who, since, self.now() + 500.0)

    async def upgrade(self, name: str) -> None:
        """A second process takes over, then the first is told to end."""
        first = self.proxies.get(name)
        if first is None:
            return
        self.record("upgrade", name, name)
        second = await first.start_successor()
        self.proxies[name] = second
        self.ended_proxies.append(first)
        first.send_signal(signal.SIGTERM)

    async def _server(self, name: str, word: str) -> None:
        server = self.servers[int(name[1:])]
        self.record("server", "board", name, word=word)
        script = server.behavior
        script.ignore_set_ups = script.ignore_health_checks = script.refuse = script.error = False
        match word:
            case "hung":
                script.ignore_set_ups = script.ignore_health_checks = True
            case "mute":
                script.ignore_set_ups = True
            case "full":
                script.refuse = True
            case "error":
                script.error = True
            case "gone":
                await server.stop(reset=True)
                self.discovery.publish([(server, GONE)])
            case "back":
                await server.start()
                self.discovery.publish([(server, READY)])

    def _relays(self) -> None:
        """TCP paths: what is cut passes nothing that way, and stays open as on a real network."""
        for (source, target), relay in self.relays.items():
            there, back = self.network.link((source, target)), self.network.link((target, source))
            relay.pause(there.cut, back.cut)

    # ---- what is seen -----------------------------------------------------------------------------------

    async def wait_until(self, what: Callable[[], bool], limit: float) -> float:
        """Wait until that holds; the ms it took. Raises TimeoutError."""
        begin = self.now()
        async with asyncio.timeout(limit):
            while not what():
                await self.changed.wait()
        return self.now() - begin

    def is_converged(self, names: Sequence[str] | None = None) -> bool:
        """Whether those (all that run) know each other, and nobody else is alive for them."""
        up = set(self.proxies if names is None else names)
        return all(
            {about for about, state in self.views.get(name, {}).items() if state < State.DEAD} == up - {name}
            for name in up
        )

    def nobody_sheds(self) -> bool:
        """Whether no member that runs sheds, by what each said last."""
        last: dict[str, str] = {}
        for event in self.log:
            if event.kind == "started":
                last.pop(event.observer, None)
            elif event.kind == "overload":
                last[event.observer] = event.fields["phase"]
        return all(phase == "normal" for name, phase in last.items() if name in self.proxies)

    def known_dead(self, *names: str, by: Sequence[str] | None = None) -> bool:
        """Whether all that run (or those named) hold the names for dead or gone."""
        observers = [one for one in (self.proxies if by is None else by) if one not in names]
        return all(
            self.views.get(observer, {}).get(name, State.DEAD) >= State.DEAD
            for observer in observers
            for name in names
        )

    async def status(self, name: str) -> dict[str, Any]:
        """What the member's own ``fleet show`` says."""
        text = await asyncio.to_thread(query, self.proxies[name].operator_address)
        said: dict[str, Any] = json.loads(text)
        return said

    def resident_memory_mb(self, name: str) -> float:
        return self.proxies[name].resident_memory_mb()

    def violations(self, limits: Bounds | None = None) -> list[str]:
        """All that the checkers find, in words: the fleet's invariants, and the platform's rules."""
        found: list[Violation | str] = []
        if self.with_fleet:
            found += FleetChecker(self.scenario.names(), limits or Bounds()).check(self.log, self.now())
        found += [f"error: {event}" for event in self.log if event.kind == "error"]
        _, stories = check_servers(self.servers, {})
        found += stories
        shift = self.loop.time() * 1000.0 - self.now()
        for name, load in self.all_load_generators:
            for fault, at in load.faults():
                when = at - shift
                excused = any(
                    who == name and since <= when <= until for who, since, until in self.excused_periods
                )
                if fault is CallFault.DOUBLED or not excused:
                    found.append(f"{fault.value}: a call at {name}, offered at {when / 1000:.3f} s")
        return [str(one) for one in found]

    def recent_events(self, last: int = 60) -> str:
        return "\n".join(map(str, self.log[-last:]))


def processor_seconds(proxy: ProxyProcess) -> float:
    assert proxy.process is not None
    times = psutil.Process(proxy.process.pid).cpu_times()
    return float(times.user + times.system)
