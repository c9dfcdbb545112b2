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


def new_admission(**limits: float) -> Admission:
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
def test_question_over_a_limit_is_refused_with_a_retry_time(
    limits: dict[str, float], admitted: int, then: Why
) -> None:
    admission = new_admission(**limits)
    for _ in range(admitted):
        assert admission.admit("f", 6.0, NOW) is None
    rejection = admission.admit("f", 6.0, NOW)
    assert rejection is not None and rejection.why is then and 20.0 <= rejection.retry_after <= 2000.0
    assert admission.fronts["f"].refused == {then: 1}


@pytest.mark.parametrize("limits", [{"pending_each": 10}, {"open_all": 10}, {"rate_each": 40.0}])
def test_classes_are_refused_in_order_of_worth(limits: dict[str, float]) -> None:
    admission = new_admission(**limits, reserve=0.5)
    while admission.admit("f", 1.0, NOW) is None:
        pass
    middle = 0
    while admission.admit("f", 3.0, NOW) is None:
        middle += 1
    top = 0
    while admission.admit("f", 6.0, NOW) is None:
        top += 1
    assert middle and top, "each class of higher worth is admitted after the class of lower worth is refused"
    assert why(admission.admit("f", 1.0, NOW)) is not None


def test_rate_limit_admits_again_after_the_refill() -> None:
    admission = new_admission(rate_each=10.0, burst_ms=100.0)
    assert admission.admit("f", 6.0, NOW) is None
    rejection = admission.admit("f", 6.0, NOW)
    assert rejection is not None
    assert admission.admit("f", 6.0, NOW + 100.0) is None


def test_front_over_its_fair_share_is_refused_near_the_total_limit_while_another_is_admitted() -> None:
    admission = new_admission(pending_all=10, pending_each=10)
    assert admission.admit("small", 6.0, NOW) is None
    greedy = 0
    while admission.admit("greedy", 6.0, NOW) is None:
        greedy += 1
    assert greedy == 7, "up to FAIR_SHARE_THRESHOLD of the total it may use what the other leaves"
    assert admission.admit("small", 6.0, NOW) is None and admission.admit("small", 6.0, NOW) is None
    assert why(admission.admit("greedy", 6.0, NOW)) is Why.BUSY


def test_new_limits_apply_to_new_questions_and_keep_open_requests() -> None:
    admission = new_admission(pending_each=2)
    assert admission.admit("f", 6.0, NOW) is None
    admission.set_limits(Limits(pending_each=1))
    assert why(admission.admit("f", 6.0, NOW)) is Why.FRONT_BUSY
    admission.decided("f", 3.0)
    admission.closed("f")
    assert admission.admit("f", 6.0, NOW) is None


def test_idle_fronts_are_removed_unless_they_have_open_requests() -> None:
    admission = new_admission()
    admission.admit("busy", 6.0, NOW)
    admission.admit("quiet", 6.0, NOW)
    admission.decided("quiet")
    admission.closed("quiet")
    admission.admit("new", 6.0, NOW + 60_000.0)
    assert set(admission.fronts) == {"busy", "new"}


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
def test_total_counts_equal_the_sums_over_fronts_and_stay_within_the_limits(
    steps: list[tuple[str, float, str]],
) -> None:
    admission, now = (
        new_admission(pending_each=4, open_each=6, pending_all=7, open_all=9, rate_each=200.0),
        NOW,
    )
    pending, opened = Counter[str](), Counter[str]()
    for name, worth, what in steps:
        if what == "ask":
            if admission.admit(name, worth, now) is None:
                pending[name] += 1
                opened[name] += 1
        elif what == "decided" and pending[name]:
            admission.decided(name, 1.0)
            pending[name] -= 1
        elif what == "closed" and opened[name] > pending[name]:
            admission.closed(name)
            opened[name] -= 1
        elif what == "again" and opened[name] > pending[name]:
            admission.reopened(name)
            pending[name] += 1
        elif what == "wait":
            now += 10.0
        assert admission.pending == sum(pending.values()) and admission.open == sum(opened.values())
        assert all(front.open == opened[key] for key, front in admission.fronts.items())
        assert admission.open <= 9 and all(front.open <= 6 for front in admission.fronts.values())


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
def test_invalid_front_name_is_refused(name: str) -> None:
    assert sessions().open(name) is Refusal.BAD_NAME


def test_sessions_are_limited_per_front_and_in_total() -> None:
    registry = sessions(max_sessions=3, max_sessions_per_front=2)
    opened(registry)
    opened(registry)
    assert registry.open("f") is Refusal.TOO_MANY
    opened(registry, "g")
    assert registry.open("h") is Refusal.TOO_MANY


def test_session_is_resumed_by_its_front_within_the_lease_only() -> None:
    registry = sessions(lease=2000.0)
    session = opened(registry)
    assert registry.stream_ended(session, 0, NOW) == NOW + 2000.0
    assert registry.resume("g", session.token, NOW + 10.0) is Refusal.ANOTHER_FRONT
    assert registry.resume("f", b"guess", NOW + 10.0) is Refusal.UNKNOWN_SESSION
    assert registry.resume("f", session.token, NOW + 1999.0) is session and session.stream == 1
    assert registry.stream_ended(session, 1, NOW + 3000.0) == NOW + 5000.0
    assert registry.resume("f", session.token, NOW + 5000.0) is Refusal.UNKNOWN_SESSION


def test_end_of_a_replaced_half_open_stream_is_ignored() -> None:
    registry = sessions()
    session = opened(registry)
    assert registry.resume("f", session.token, NOW) is session
    assert registry.stream_ended(session, 0, NOW + 1.0) is None
    assert session.phase is Phase.CONNECTED
    assert not registry.expire(session, 0)


def test_expired_session_is_not_resumed_and_no_longer_counts_towards_the_limit() -> None:
    registry = sessions(max_sessions=1)
    session = opened(registry)
    registry.stream_ended(session, 0, NOW)
    assert registry.expire(session, 0)
    assert registry.resume("f", session.token, NOW + 1.0) is Refusal.UNKNOWN_SESSION
    assert isinstance(registry.open("f"), Session)
    registry.forget(session)
    assert len(registry.by_token) == 1
