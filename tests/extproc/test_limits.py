"""Admission limits and sessions: admission, priority of classes, resumption."""

from __future__ import annotations

import itertools
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martentide.extproc.limits import Admission, Limits, Rejection
from martentide.extproc.messages import Why
from martentide.extproc.sessions import Phase, Refusal, Session, Sessions, SessionSettings

NOW = 5_000.0


def admission(**limits: float) -> Admission:
    """Return the admission control with these limits."""
    return Admission(Limits(**limits), 6.0, 3)  # type: ignore[arg-type]


def why(rejection: Rejection | None) -> Why | None:
    """Return the reason of a rejection."""
    return rejection.why if rejection is not None else None


@pytest.mark.parametrize(
    ("limits", "admitted", "then"),
    [
        ({"pending_each": 3}, 3, Why.FRONT_BUSY),
        ({"open_each": 4}, 4, Why.FRONT_BUSY),
        ({"pending_all": 5}, 5, Why.BUSY),
        ({"open_all": 6}, 6, Why.BUSY),
        ({"rate_each": 40.0, "burst_ms": 250.0}, 10, Why.FRONT_RATE),
    ],
)
def test_each_limit_refuses_what_is_over_it_and_says_when_to_come_back(
    limits: dict[str, float], admitted: int, then: Why
) -> None:
    gate = admission(**limits)
    for _ in range(admitted):
        assert gate.admit("f", 6.0, NOW) is None
    rejection = gate.admit("f", 6.0, NOW)
    assert rejection is not None and rejection.why is then and 20.0 <= rejection.retry_after <= 2000.0
    assert gate.fronts["f"].refused == {then: 1}


@pytest.mark.parametrize("limits", [{"pending_each": 10}, {"open_all": 10}, {"rate_each": 40.0}])
def test_the_worthiest_class_goes_last(limits: dict[str, float]) -> None:
    gate = admission(**limits, reserve=0.5)
    while gate.admit("f", 1.0, NOW) is None:
        pass
    middle = 0
    while gate.admit("f", 3.0, NOW) is None:
        middle += 1
    top = 0
    while gate.admit("f", 6.0, NOW) is None:
        top += 1
    assert middle and top, "each class of higher worth is admitted after the lower one is refused"
    assert why(gate.admit("f", 1.0, NOW)) is not None


def test_the_rate_comes_back_with_time() -> None:
    gate = admission(rate_each=10.0, burst_ms=100.0)
    assert gate.admit("f", 6.0, NOW) is None
    rejection = gate.admit("f", 6.0, NOW)
    assert rejection is not None
    assert gate.admit("f", 6.0, NOW + 100.0) is None


def test_a_front_over_its_part_of_a_crowded_total_makes_room_for_the_other() -> None:
    gate = admission(pending_all=10, pending_each=10)
    assert gate.admit("small", 6.0, NOW) is None
    greedy = 0
    while gate.admit("greedy", 6.0, NOW) is None:
        greedy += 1
    assert greedy == 7, "up to FAIR_SHARE_THRESHOLD of the total it may use what the other leaves"
    assert gate.admit("small", 6.0, NOW) is None and gate.admit("small", 6.0, NOW) is None
    assert why(gate.admit("greedy", 6.0, NOW)) is Why.BUSY


def test_new_limits_hold_for_what_comes_and_keep_what_is_open() -> None:
    gate = admission(pending_each=2)
    assert gate.admit("f", 6.0, NOW) is None
    gate.set_limits(Limits(pending_each=1))
    assert why(gate.admit("f", 6.0, NOW)) is Why.FRONT_BUSY
    gate.decided("f", 3.0)
    gate.closed("f")
    assert gate.admit("f", 6.0, NOW) is None


def test_quiet_fronts_are_forgotten_and_open_ones_are_not() -> None:
    gate = admission()
    gate.admit("busy", 6.0, NOW)
    gate.admit("quiet", 6.0, NOW)
    gate.decided("quiet")
    gate.closed("quiet")
    gate.admit("new", 6.0, NOW + 60_000.0)
    assert set(gate.fronts) == {"busy", "new"}


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.sampled_from([1.0, 2.0, 6.0]),
            st.sampled_from(["ask", "decided", "closed", "again", "wait"]),
        ),
        max_size=120,
    )
)
def test_counts_are_those_of_the_fronts_and_never_over_a_limit(steps: list[tuple[str, float, str]]) -> None:
    gate, now = admission(pending_each=4, open_each=6, pending_all=7, open_all=9, rate_each=200.0), NOW
    pending, opened = Counter[str](), Counter[str]()
    for name, worth, what in steps:
        if what == "ask":
            if gate.admit(name, worth, now) is None:
                pending[name] += 1
                opened[name] += 1
        elif what == "decided" and pending[name]:
            gate.decided(name, 1.0)
            pending[name] -= 1
        elif what == "closed" and opened[name] > pending[name]:
            gate.closed(name)
            opened[name] -= 1
        elif what == "again" and opened[name] > pending[name]:
            gate.reopened(name)
            pending[name] += 1
        elif what == "wait":
            now += 10.0
        assert gate.pending == sum(pending.values()) and gate.open == sum(opened.values())
        assert all(front.open == opened[key] for key, front in gate.fronts.items())
        assert gate.open <= 9 and all(front.open <= 6 for front in gate.fronts.values())


# ---- sessions ---------------------------------------------------------------------------------------------


def sessions(**session_settings: float) -> Sessions:
    """Return a registry of sessions with predictable tokens."""
    numbers = itertools.count(1)
    return Sessions(SessionSettings(**session_settings), lambda count: next(numbers).to_bytes(count, "big"))  # type: ignore[arg-type]


def opened(registry: Sessions, front: str = "f") -> Session:
    """Open a session for a front."""
    session = registry.open(front)
    assert isinstance(session, Session)
    return session


@pytest.mark.parametrize("name", ["", "a b", "x" * 65, "tab\t"])
def test_a_bad_name_gets_no_session(name: str) -> None:
    assert sessions().open(name) is Refusal.BAD_NAME


def test_sessions_are_bounded_each_and_in_all() -> None:
    registry = sessions(max_sessions=3, max_sessions_per_front=2)
    opened(registry)
    opened(registry)
    assert registry.open("f") is Refusal.TOO_MANY
    opened(registry, "g")
    assert registry.open("h") is Refusal.TOO_MANY


def test_a_front_goes_on_within_the_lease_and_not_after() -> None:
    registry = sessions(lease=2000.0)
    session = opened(registry)
    assert registry.stream_ended(session, 0, NOW) == NOW + 2000.0
    assert registry.resume("g", session.token, NOW + 10.0) is Refusal.ANOTHER_FRONT
    assert registry.resume("f", b"guess", NOW + 10.0) is Refusal.UNKNOWN_SESSION
    assert registry.resume("f", session.token, NOW + 1999.0) is session and session.stream == 1
    assert registry.stream_ended(session, 1, NOW + 3000.0) == NOW + 5000.0
    assert registry.resume("f", session.token, NOW + 5000.0) is Refusal.UNKNOWN_SESSION


def test_a_newer_stream_replaces_a_half_open_one_whose_end_then_means_nothing() -> None:
    registry = sessions()
    session = opened(registry)
    assert registry.resume("f", session.token, NOW) is session
    assert registry.stream_ended(session, 0, NOW + 1.0) is None
    assert session.phase is Phase.CONNECTED
    assert not registry.expire(session, 0)


def test_an_expired_session_is_not_gone_on_with_and_leaves_room() -> None:
    registry = sessions(max_sessions=1)
    session = opened(registry)
    registry.stream_ended(session, 0, NOW)
    assert registry.expire(session, 0)
    assert registry.resume("f", session.token, NOW + 1.0) is Refusal.UNKNOWN_SESSION
    assert isinstance(registry.open("f"), Session)
    registry.forget(session)
    assert len(registry.by_token) == 1
