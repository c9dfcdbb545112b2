"""Shares from each zone to each, for each class: a linear program, the same plan from the same inputs.

Near while the near servers stay under a stated load, then by cost; a slice of a zone's capacity is kept
for the worthiest class; what fits nowhere is refused at once. Capacity is what a zone can do now, with the
ramp of cold and returning servers in it; a lost zone has none. The constraints form a flow network, so that
the optimum is exact; ties are broken by the order of names. Needs ``highspy`` (the extra ``failover``).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

WEIGHT = 1_000_000.0  # of one set-up's worth against one unit of cost: service goes before nearness
LEAST_WORTH = 0.01  # of a class against the worthiest, for the program's weights
TIE = 1e-3  # of a unit of cost, between two routes that follow each other by name
MOST_ROUTES = 20_000
TINY = 1e-6  # set-ups/s: what the solver calls nothing


class Infeasible(Exception):
    """Floors that no plan keeps; the text names them."""


@dataclass(frozen=True, slots=True)
class Zone:
    """``capacity`` set-ups a second, as of now."""

    name: str
    capacity: float


@dataclass(frozen=True, slots=True)
class Demand:
    """Set-ups a second that come to a zone, of one class."""

    zone: str
    call_class: str
    rate: float


@dataclass(frozen=True, slots=True)
class Terms:
    """Shares of a zone's capacity, 0 to 1; cost in ms."""

    near_load: float = 0.8  # to which servers are used before calls go elsewhere
    most_load: float = 0.95  # to which they are planned at all
    kept: float = 0.05  # below that, for the worthiest class alone
    beyond: float = 30.0  # cost of using a zone beyond the near load
    stick: float = 3.0  # cost less of a route that the plan before had: small changes move few calls


@dataclass(frozen=True, slots=True)
class Question:
    """``cost`` in ms from zone to zone (the own one: 0; unnamed: none may go there); ``barred``: class and
    zone that has no server for it; ``floors``: least share of a class that is to be served."""

    zones: tuple[Zone, ...]
    demands: tuple[Demand, ...]
    worths: Mapping[str, float]
    cost: Mapping[tuple[str, str], float]
    barred: frozenset[tuple[str, str]] = frozenset()
    floors: Mapping[str, float] = field(default_factory=dict)
    terms: Terms = Terms()


@dataclass(frozen=True, slots=True)
class Plan:
    """``shares`` of what comes to a zone, by class: to which zones; the rest is refused. ``used``: set-ups a
    second planned for each zone; ``served``: share of the worth offered."""

    shares: Mapping[tuple[str, str], tuple[tuple[str, float], ...]]
    used: Mapping[str, float]
    served: float
    objective: float

    def share(self, zone: str, call_class: str, to: str) -> float:
        return dict(self.shares.get((zone, call_class), ())).get(to, 0.0)


@dataclass(frozen=True, slots=True)
class _Route:
    demand: int
    slice: int
    to: str
    weight: float


@dataclass(frozen=True, slots=True)
class _Slice:
    zone: str
    size: float
    cost: float
    worthiest: bool


def slices_of(question: Question) -> list[_Slice]:
    """Each zone's capacity in three: up to the near load, beyond it, and what is kept."""
    terms = question.terms
    found = []
    for zone in sorted(question.zones, key=lambda one: one.name):
        beyond = max(0.0, terms.most_load - terms.kept - terms.near_load)
        near = min(terms.near_load, terms.most_load - terms.kept)
        found += [
            _Slice(zone.name, near * zone.capacity, 0.0, False),
            _Slice(zone.name, beyond * zone.capacity, terms.beyond, False),
            _Slice(zone.name, terms.kept * zone.capacity, 1.5 * terms.beyond, True),
        ]
    return [one for one in found if one.size > 0.0]


def routes_of(question: Question, slices: Sequence[_Slice], before: Plan | None = None) -> list[_Route]:
    """All that may be, with what each brings: worth first, then little cost, then the order of names."""
    top = max(question.worths.values(), default=1.0)
    found: list[_Route] = []
    for at, demand in enumerate(question.demands):
        worth = max(LEAST_WORTH, question.worths.get(demand.call_class, 0.0) / top)
        worthiest = question.worths.get(demand.call_class, 0.0) >= top
        for number, one in enumerate(slices):
            cost = question.cost.get((demand.zone, one.zone), 0.0 if demand.zone == one.zone else None)
            barred = (demand.call_class, one.zone) in question.barred
            if cost is None or barred or (one.worthiest and not worthiest):
                continue
            held = before is not None and before.share(demand.zone, demand.call_class, one.zone) > 0.0
            price = cost + one.cost - question.terms.stick * held + TIE * len(found)
            found.append(_Route(at, number, one.zone, WEIGHT * worth - price))
    if len(found) > MOST_ROUTES:
        raise ValueError(f"{len(found)} routes, {MOST_ROUTES} at most")
    return found


def solve(question: Question, before: Plan | None = None) -> Plan:
    """The best plan; ``before`` is kept to where that costs little. Raises Infeasible for floors that nothing
    keeps, ValueError for more routes than are solved in time."""
    import highspy
    import numpy

    slices = slices_of(question)
    routes = routes_of(question, slices, before)
    count = len(routes)
    rows: list[tuple[float, float, list[int]]] = [  # least, most, the routes in it
        (0.0, demand.rate, [at for at, one in enumerate(routes) if one.demand == number])
        for number, demand in enumerate(question.demands)
    ]
    rows += [
        (0.0, part.size, [at for at, one in enumerate(routes) if one.slice == number])
        for number, part in enumerate(slices)
    ]
    for name, floor in sorted(question.floors.items()):
        total = sum(one.rate for one in question.demands if one.call_class == name)
        within = [at for at, one in enumerate(routes) if question.demands[one.demand].call_class == name]
        rows.append((floor * total, total, within))
    solver = highspy.Highs()
    solver.setOptionValue("output_flag", False)
    solver.setOptionValue("threads", 1)
    model = highspy.HighsLp()
    model.num_col_, model.num_row_ = count, len(rows)
    model.col_cost_ = numpy.array([-one.weight for one in routes])
    model.col_lower_ = numpy.zeros(count)
    model.col_upper_ = numpy.full(count, highspy.kHighsInf)
    model.row_lower_ = numpy.array([least for least, _, _ in rows])
    model.row_upper_ = numpy.array([most for _, most, _ in rows])
    starts = [0]
    for _, _, within in rows:
        starts.append(starts[-1] + len(within))
    model.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
    model.a_matrix_.start_ = numpy.array(starts)
    model.a_matrix_.index_ = numpy.array([at for _, _, within in rows for at in within])
    model.a_matrix_.value_ = numpy.ones(starts[-1])
    if count == 0:
        if any(least > 0.0 for least, _, _ in rows):
            raise Infeasible(_unkept(question))
        return _plan_of(question, routes, [])
    solver.passModel(model)
    solver.run()
    if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        raise Infeasible(_unkept(question))
    return _plan_of(question, routes, list(solver.getSolution().col_value))


def _unkept(question: Question) -> str:
    floors = ", ".join(f"{name} {floor:.0%}" for name, floor in sorted(question.floors.items()))
    capacity = sum(zone.capacity for zone in question.zones)
    return f"no plan keeps the floors {floors}: {capacity:g} set-ups/s can be done in all zones together"


def _plan_of(question: Question, routes: Sequence[_Route], flows: Sequence[float]) -> Plan:
    sent: dict[tuple[str, str], dict[str, float]] = {}
    used = {zone.name: 0.0 for zone in question.zones}
    got = objective = 0.0
    for route, flow in zip(routes, flows, strict=True):
        if flow <= TINY:
            continue
        demand = question.demands[route.demand]
        key = (demand.zone, demand.call_class)
        sent.setdefault(key, {}).setdefault(route.to, 0.0)
        sent[key][route.to] += flow / demand.rate
        used[route.to] += flow
        got += flow * question.worths.get(demand.call_class, 0.0)
        objective += flow * route.weight
    asked = sum(one.rate * question.worths.get(one.call_class, 0.0) for one in question.demands)
    shares = {key: tuple(sorted((to, round(share, 9)) for to, share in parts.items()))
              for key, parts in sorted(sent.items())}  # fmt: skip
    return Plan(shares, used, got / asked if asked else 1.0, objective)


def why(question: Question, plan: Plan, zone: str, call_class: str) -> list[str]:
    """In words, why the calls of a class at a zone go where they go."""
    terms = question.terms
    capacity = {one.name: one.capacity for one in question.zones}
    lines = []
    parts = plan.shares.get((zone, call_class), ())
    for to, share in parts:
        load = plan.used[to] / capacity[to] if capacity.get(to) else 0.0
        if to == zone:
            text = f"near, where servers are planned to {load:.0%}"
        else:
            own = plan.used.get(zone, 0.0) / capacity[zone] if capacity.get(zone) else None
            reason = "which can do nothing now" if own is None else f"whose servers are planned to {own:.0%}"
            cost = question.cost.get((zone, to), 0.0)
            text = f"away from {zone}, {reason}, at a cost of {cost:g} ms; {to} is planned to {load:.0%}"
        lines.append(f"{call_class} at {zone}: {share:.0%} to {to}: {text}")
    left = 1.0 - sum(share for _, share in parts)
    if left > 1e-6:
        lines.append(
            f"{call_class} at {zone}: {left:.0%} refused: no zone that may take it has room below "
            f"{terms.most_load:.0%}, of which {terms.kept:.0%} is kept for the worthiest class"
        )
    return lines
