"""Traffic shares between zones for each class, by a deterministic linear program.

Calls stay in their zone while its servers are below a configured load, then go where the cost is lowest; part
of a zone's capacity is reserved for the highest-worth class; calls that fit nowhere are refused at once.
Capacity is what a zone can handle now, with cold and returning servers at their ramp; a lost zone has none.
The constraints form a flow network, so the optimum is exact; ties are broken by the order of names. Requires
``highspy`` (the extra ``failover``).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

WORTH_WEIGHT = 1_000_000.0  # of a set-up's relative worth against 1 ms of cost: serving outweighs distance
MIN_RELATIVE_WORTH = 0.01  # of a class against the highest worth, in the weights
TIE_BREAK = 1e-3  # ms of cost between two routes that are adjacent by name
MAX_ROUTES = 20_000  # more would take too long to solve
MIN_FLOW = 1e-6  # set-ups/s below which a flow counts as zero


class Infeasible(Exception):
    """Raised if no plan satisfies the minimum shares; the message lists them."""


@dataclass(frozen=True, slots=True)
class Zone:
    """A zone with its current ``capacity`` in set-ups/s."""

    name: str
    capacity: float


@dataclass(frozen=True, slots=True)
class Demand:
    """The rate of set-ups/s of one class that arrive at a zone."""

    zone: str
    call_class: str
    rate: float


@dataclass(frozen=True, slots=True)
class Parameters:
    """Parameters of the plan: shares of a zone's capacity, 0 to 1, and costs in ms."""

    near_load: float = 0.8  # load above which calls may go elsewhere
    max_load: float = 0.95  # highest planned load
    reserved: float = 0.05  # part of max_load that only the highest-worth class may use
    overflow_cost: float = 30.0  # cost of using a zone above the near load
    stickiness: float = 3.0  # discount on routes of the previous plan: small changes move few calls


@dataclass(frozen=True, slots=True)
class Problem:
    """Input of the planner.

    ``cost`` is in ms from zone to zone: 0 within a zone; without an entry, no calls may go there.
    ``forbidden`` lists classes with the zones that have no server for them; ``min_shares`` is the least share
    of a class that must be served.
    """

    zones: tuple[Zone, ...]
    demands: tuple[Demand, ...]
    worths: Mapping[str, float]
    cost: Mapping[tuple[str, str], float]
    forbidden: frozenset[tuple[str, str]] = frozenset()
    min_shares: Mapping[str, float] = field(default_factory=dict)
    parameters: Parameters = Parameters()


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan.

    ``shares`` gives, by zone and class, the shares of the arriving calls sent to each zone; the rest is
    refused. ``load`` is the planned rate of each zone in set-ups/s; ``served`` the served share of the
    offered worth; ``objective`` the value of the linear program, to compare plans of the same problem.
    """

    shares: Mapping[tuple[str, str], tuple[tuple[str, float], ...]]
    load: Mapping[str, float]
    served: float
    objective: float

    def share(self, zone: str, call_class: str, to: str) -> float:
        """Return the share of a zone's calls of a class that is sent to zone ``to``."""
        return dict(self.shares.get((zone, call_class), ())).get(to, 0.0)


@dataclass(frozen=True, slots=True)
class _Route:
    demand_index: int
    slice_index: int
    to: str
    weight: float  # of a set-up in the objective


@dataclass(frozen=True, slots=True)
class _Slice:
    zone: str
    size: float  # set-ups/s
    cost: float  # ms, in addition to the cost between the zones
    highest_worth_only: bool


def capacity_slices(problem: Problem) -> list[_Slice]:
    """Split each zone's capacity into three slices: up to the near load, above it, and reserved."""
    parameters = problem.parameters
    slices = []
    for zone in sorted(problem.zones, key=lambda one: one.name):
        beyond = max(0.0, parameters.max_load - parameters.reserved - parameters.near_load)
        near = min(parameters.near_load, parameters.max_load - parameters.reserved)
        slices += [
            _Slice(zone.name, near * zone.capacity, 0.0, False),
            _Slice(zone.name, beyond * zone.capacity, parameters.overflow_cost, False),
            _Slice(zone.name, parameters.reserved * zone.capacity, 1.5 * parameters.overflow_cost, True),
        ]
    return [one for one in slices if one.size > 0.0]


def candidate_routes(
    problem: Problem, slices: Sequence[_Slice], previous: Plan | None = None
) -> list[_Route]:
    """Return all allowed routes with their weights: by worth, then by low cost, then by name order."""
    top = max(problem.worths.values(), default=1.0)
    routes: list[_Route] = []
    for demand_index, demand in enumerate(problem.demands):
        worth = max(MIN_RELATIVE_WORTH, problem.worths.get(demand.call_class, 0.0) / top)
        highest_worth = problem.worths.get(demand.call_class, 0.0) >= top
        for slice_index, part in enumerate(slices):
            cost = problem.cost.get((demand.zone, part.zone), 0.0 if demand.zone == part.zone else None)
            excluded = (demand.call_class, part.zone) in problem.forbidden
            if cost is None or excluded or (part.highest_worth_only and not highest_worth):
                continue
            in_previous = (
                previous is not None and previous.share(demand.zone, demand.call_class, part.zone) > 0.0
            )
            price = cost + part.cost - problem.parameters.stickiness * in_previous + TIE_BREAK * len(routes)
            routes.append(_Route(demand_index, slice_index, part.zone, WORTH_WEIGHT * worth - price))
    if len(routes) > MAX_ROUTES:
        raise ValueError(f"too many routes: {len(routes)}, at most {MAX_ROUTES}")
    return routes


def solve(problem: Problem, previous: Plan | None = None) -> Plan:
    """Return the optimal plan; routes of the ``previous`` plan are preferred where that costs little.

    Raises Infeasible if the minimum shares cannot be satisfied, ValueError for more than MAX_ROUTES routes.
    """
    import highspy
    import numpy

    slices = capacity_slices(problem)
    routes = candidate_routes(problem, slices, previous)
    count = len(routes)
    rows: list[tuple[float, float, list[int]]] = [  # lower bound, upper bound, indices of the routes
        (0.0, demand.rate, [at for at, one in enumerate(routes) if one.demand_index == number])
        for number, demand in enumerate(problem.demands)
    ]
    rows += [
        (0.0, part.size, [at for at, one in enumerate(routes) if one.slice_index == number])
        for number, part in enumerate(slices)
    ]
    for name, min_share in sorted(problem.min_shares.items()):
        total = sum(one.rate for one in problem.demands if one.call_class == name)
        within = [at for at, one in enumerate(routes) if problem.demands[one.demand_index].call_class == name]
        rows.append((min_share * total, total, within))
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
            raise Infeasible(_infeasible_text(problem))
        return _build_plan(problem, routes, [])
    solver.passModel(model)
    solver.run()
    if solver.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        raise Infeasible(_infeasible_text(problem))
    return _build_plan(problem, routes, list(solver.getSolution().col_value))


def _infeasible_text(problem: Problem) -> str:
    min_shares = ", ".join(f"{name} {share:.0%}" for name, share in sorted(problem.min_shares.items()))
    capacity = sum(zone.capacity for zone in problem.zones)
    return (
        f"no plan satisfies the minimum shares {min_shares}: all zones together handle {capacity:g} set-ups/s"
    )


def _build_plan(problem: Problem, routes: Sequence[_Route], flows: Sequence[float]) -> Plan:
    sent: dict[tuple[str, str], dict[str, float]] = {}
    load = {zone.name: 0.0 for zone in problem.zones}
    served_worth = objective = 0.0
    for route, flow in zip(routes, flows, strict=True):
        if flow <= MIN_FLOW:
            continue
        demand = problem.demands[route.demand_index]
        key = (demand.zone, demand.call_class)
        sent.setdefault(key, {}).setdefault(route.to, 0.0)
        sent[key][route.to] += flow / demand.rate
        load[route.to] += flow
        served_worth += flow * problem.worths.get(demand.call_class, 0.0)
        objective += flow * route.weight
    offered_worth = sum(one.rate * problem.worths.get(one.call_class, 0.0) for one in problem.demands)
    shares = {key: tuple(sorted((to, round(share, 9)) for to, share in parts.items()))
              for key, parts in sorted(sent.items())}  # fmt: skip
    return Plan(shares, load, served_worth / offered_worth if offered_worth else 1.0, objective)


def explain(problem: Problem, plan: Plan, zone: str, call_class: str) -> list[str]:
    """Explain in text lines where the calls of a class at a zone are sent and why."""
    parameters = problem.parameters
    capacity = {one.name: one.capacity for one in problem.zones}
    lines = []
    parts = plan.shares.get((zone, call_class), ())
    for to, share in parts:
        load = plan.load[to] / capacity[to] if capacity.get(to) else 0.0
        if to == zone:
            text = f"within the zone, planned load {load:.0%}"
        else:
            own = plan.load.get(zone, 0.0) / capacity[zone] if capacity.get(zone) else None
            reason = "which has no capacity now" if own is None else f"whose planned load is {own:.0%}"
            cost = problem.cost.get((zone, to), 0.0)
            text = (
                f"diverted from {zone}, {reason}, at a cost of {cost:g} ms; planned load of {to} {load:.0%}"
            )
        lines.append(f"{call_class} at {zone}: {share:.0%} to {to}: {text}")
    left = 1.0 - sum(share for _, share in parts)
    if left > 1e-6:
        lines.append(
            f"{call_class} at {zone}: {left:.0%} refused: no allowed zone has capacity left below "
            f"{parameters.max_load:.0%}, of which {parameters.reserved:.0%} only for the highest-worth class"
        )
    return lines
