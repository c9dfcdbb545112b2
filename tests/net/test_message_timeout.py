"""The adaptive time limit for messages of session servers; no sockets."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martentide.net.message_timeout import RESENT_MESSAGES, MessageTimeout
from martentide.net.server_connection import KEEPALIVE_TIMEOUT
from martentide.net.servers import MIN_MESSAGE_TIMEOUT, MIN_PROGRESS_TIMEOUT

RELEASED_WITHIN_S = 8.0  # of a call's end, by the protocol
DIAL_S = 0.05  # to close a connection and have the next one


def set_up_timeout() -> MessageTimeout:
    """Return the timeout after which a session server's actor ends the open set-ups of a connection."""
    return MessageTimeout(MIN_MESSAGE_TIMEOUT, KEEPALIVE_TIMEOUT)


def closing_timeout() -> MessageTimeout:
    """Return the timeout after which a session server's actor closes a connection."""
    return MessageTimeout(MIN_PROGRESS_TIMEOUT, KEEPALIVE_TIMEOUT)


@given(state=st.floats(0.0, 20.0), release=st.floats(0.0, 20.0), others=st.integers(0, RESENT_MESSAGES - 1))
def test_a_release_is_read_or_the_server_unresponsive_in_time(
    state: float, release: float, others: int
) -> None:
    """Guards against standing calls for ever at a server whose messages take longer than the timeout.

    The server writes its state first on each new connection, then maybe others' messages at once, and then
    the release, each message over the given time.
    """
    timeout, now = closing_timeout(), 0.0
    while now <= RELEASED_WITHIN_S:
        for duration in (state, *[0.0] * others, release):
            if duration > timeout.seconds:
                now += timeout.seconds + DIAL_S
                if timeout.message_stalled():
                    assert now <= RELEASED_WITHIN_S
                    return
                break
            now += duration
            timeout.message_completed(duration)
        else:
            break
    assert now <= RELEASED_WITHIN_S


def test_stalls_among_many_messages_leave_the_timeout_short() -> None:
    """Guards against set-ups that wait long on a broken connection because some earlier ones broke too."""
    timeout = set_up_timeout()
    for _ in range(100):
        assert not timeout.message_stalled()
        for _ in range(30):
            timeout.message_completed(0.0)
    assert timeout.seconds == pytest.approx(MIN_MESSAGE_TIMEOUT)


def test_a_server_that_writes_slowly_is_given_more_than_it_needs() -> None:
    timeout = set_up_timeout()
    timeout.message_stalled()
    for _ in range(20):
        timeout.message_completed(0.1)
    assert timeout.seconds > 0.1


def test_slow_releases_among_many_whole_messages_are_read_or_the_server_unresponsive_in_time() -> None:
    """Guards against standing calls for ever at a busy server that writes only its releases slowly."""
    timeout, now = closing_timeout(), 0.0
    while now <= RELEASED_WITHIN_S:
        for _ in range(2 * RESENT_MESSAGES):
            timeout.message_completed(0.0)
        if timeout.seconds >= 0.5:  # s from the first to the last byte of a release
            return
        now += timeout.seconds + DIAL_S
        if timeout.message_stalled():
            return
    raise AssertionError(f"no release was read in {now:.1f} s")
