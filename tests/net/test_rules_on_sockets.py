"""The protocol's rules, one test each, on a started program with real sockets."""

from __future__ import annotations

import select
import time
from pathlib import Path

import pytest

from martentide.codec.messages import Code, Message, Type, write_message, write_release
from tests.net.support import DESCRIPTION, Listener, Program, Wire, frame

A, B = bytes.fromhex("0123456789abcdef"), bytes.fromhex("fedcba9876543210")


def set_up_call(caller: Wire, server: Wire, call: bytes = A) -> Message:
    """Set a call up until the caller has its answer; return the set-up that the server received."""
    caller.set_up(call)
    set_up = server.receive(Type.SET_UP)
    server.send(Type.ANSWER, call, {Code.DESCRIPTION: DESCRIPTION[::-1]})
    answer = caller.receive()
    assert (answer.type, answer.call) == (Type.ANSWER, call)
    assert answer.parameters == {Code.DESCRIPTION: DESCRIPTION[::-1]}
    return set_up


def test_call_is_forwarded_unchanged_answered_and_released(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up = set_up_call(caller, server)
        assert set_up.call == A
        assert 0 < int(set_up.parameters.pop(Code.TIME_LEFT)) <= 3000
        assert set_up.parameters == {
            Code.CLASS: b"voice", Code.NUMBER: b"7f3a", Code.DESCRIPTION: DESCRIPTION,
        }  # fmt: skip
        server.release(A, 16)
        assert (released := caller.receive()).type == Type.RELEASE and released.cause() == 16


def test_a_caller_ends_its_standing_call_on_any_connection(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        first, server = program.caller(), program.servers[0].accept()
        set_up_call(first, server)
        first.sock.close()
        program.logged("role=caller .*reason=peer-closed")
        second = program.caller()
        second.release(A, 16)
        assert second.receive().type == Type.RELEASE_ACK
        assert server.receive().call == A


def test_a_release_waits_for_the_hosts_next_connection(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        first, server = program.caller(), program.servers[0].accept()
        set_up_call(first, server)
        first.sock.close()
        program.logged("role=caller .*reason=peer-closed")
        server.release(A, 16)
        assert program.caller().receive().call == A


def test_a_callers_health_check_passes(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller = program.caller()
        caller.send(Type.TEST, A, {Code.CAUSE: b"\0"})
        assert (result := caller.receive()).type == Type.TEST_RESULT and result.cause() == 1


def test_call_to_a_silent_server_gets_one_final_message_in_time(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller = program.caller()
        program.servers[0].accept()
        caller.set_up(A, left=300)
        assert (answer := caller.receive()).type == Type.RELEASE and answer.cause() not in (16, 34, 42, 102)
        caller.set_up(B, left=300)
        assert caller.receive().call == B  # no further message about the first call came before


def test_a_call_given_up_is_given_up_at_the_server_and_gets_no_answer(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.set_up(A)
        server.receive(Type.SET_UP)
        caller.release(A, 16)
        assert caller.receive().type == Type.RELEASE_ACK
        assert (give_up := server.receive()).call == A and give_up.cause() == 16
        # Crosses the give-up, so it must not reach the caller.
        server.send(Type.ANSWER, A, {Code.DESCRIPTION: b"late"})
        set_up_call(caller, server, B)


def test_a_late_answer_never_counts_for_the_next_attempt(tmp_path: Path) -> None:
    """The first attempt is given up after its timeout; its late answer must not answer the second attempt."""
    with Program(tmp_path, servers=2) as program:
        caller = program.caller()
        servers = [listener.accept() for listener in program.servers]
        caller.set_up(A)
        set_up = servers[0].receive(Type.SET_UP)
        given_up = servers[0].receive(Type.RELEASE)  # written before anything goes to the other server
        over = time.monotonic()
        assert (set_up.call, given_up.cause()) == (A, 16)
        second = servers[1].receive(Type.SET_UP)
        assert second.call == A and time.monotonic() - over > 0.15  # after the release wait of 200 ms
        servers[0].send(Type.ANSWER, A, {Code.DESCRIPTION: b"late"})
        servers[1].send(Type.ANSWER, A, {Code.DESCRIPTION: b"good"})
        assert caller.receive().parameters == {Code.DESCRIPTION: b"good"}


def test_draining_server_gets_no_new_calls(tmp_path: Path) -> None:
    with Program(tmp_path, servers=2) as program:
        caller, discovery = program.caller(), program.discovery.accept()
        assert discovery.receive_exactly(8) == (1).to_bytes(8, "big")
        discovery.sock.sendall(frame(2, 2, (0, program.servers[0].port, 1)))
        program.logged("server-listed server=s-00000000 state=draining")
        other = program.servers[1].accept()
        for call in (A, B):
            set_up_call(caller, other, call)  # although the first choice of both is the draining server


def test_call_goes_to_another_server_if_the_dial_is_refused(tmp_path: Path) -> None:
    with Program(tmp_path, servers=2) as program:
        caller, first = program.caller(), program.servers[0].accept()
        program.servers[0].close()
        first.reset()
        program.logged("reason=dial-refused")
        set_up_call(caller, program.servers[1].accept())


def test_calls_of_a_dead_process_are_released_to_the_caller(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        program.servers[0].close()
        server.reset()
        assert (released := caller.receive()).call == A and released.cause() == 41


def test_connection_reset_alone_ends_no_standing_call(tmp_path: Path) -> None:
    """Calls that still stand must not be released: connections are reset for many reasons."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        server.reset()
        again = program.servers[0].accept()
        again.release(A, 16)
        assert (released := caller.receive()).call == A and released.cause() == 16


# A message that is too long, and one with an incomplete parameter.
@pytest.mark.parametrize("malformed", [b"\xff\xf3\x09" + A, b"\0\x20\x09" + A])
def test_a_malformed_answer_closes_only_its_connection(tmp_path: Path, malformed: bytes) -> None:
    """A malformed answer must close its connection at once and must not end the standing calls on it."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        caller.set_up(B)
        server.receive(Type.SET_UP)
        server.sock.sendall(malformed)
        assert server.closed()
        again = program.servers[0].accept()
        # The server may hold the call, because the malformed message was an answer.
        assert again.receive(Type.RELEASE).call == B
        assert again.receive(Type.SET_UP).call == B
        again.send(Type.ANSWER, B, {Code.DESCRIPTION: DESCRIPTION})
        again.release(A, 16)
        assert [caller.receive().call, caller.receive().call] == [B, A]


def test_a_connection_that_falls_silent_is_replaced_and_its_calls_stay(tmp_path: Path) -> None:
    """A dead connection must be replaced; its server must not be treated as lost."""
    with Program(tmp_path) as program:
        caller, silent = program.caller(), program.servers[0].accept()
        set_up_call(caller, silent)
        caller.set_up(B, left=400)
        assert caller.receive().call == B  # failed, because the connection stayed silent
        other = program.servers[0].accept()
        other.send(Type.GROUP_STATE, bytes(8), {Code.REPORT: b"x0:9"})
        for _ in range(4):  # about 1 s each; meanwhile the server answers the keepalives
            other.send(Type.TEST_RESULT, other.receive(Type.TEST).call, {Code.CAUSE: b"\x01"})
        program.logged("role=server .*reason=silent")
        other.release(A, 16)
        assert (released := caller.receive()).call == A and released.cause() == 16


def open_two_connections(program: Program) -> tuple[Wire, Wire, Wire]:
    """Return a caller whose call A stands on the first of two connections to one server, and both."""
    caller, first = program.caller(), program.servers[0].accept()
    set_up_call(caller, first)
    caller.set_up(B)
    first.receive(Type.SET_UP)  # without a response, so that another connection is opened
    second = program.servers[0].accept()
    second.send(Type.GROUP_STATE, bytes(8))
    first.send(Type.ANSWER, B, {Code.DESCRIPTION: b"x"})
    assert caller.receive().type == Type.ANSWER
    return caller, first, second


def test_keepalives_start_late_and_on_one_connection(tmp_path: Path) -> None:
    """Keepalives must stay rare: each proxy sends few, but two hundred proxies together send thousands."""
    with Program(tmp_path) as program:
        _, first, second = open_two_connections(program)
        began = time.monotonic()
        links = [first.sock, second.sock]
        assert select.select(links, [], [], 10.0)[0]
        assert time.monotonic() - began > 3.0
        time.sleep(0.1)
        assert len(select.select(links, [], [], 0.0)[0]) == 1


def test_another_connection_is_opened_while_a_set_up_still_waits_on_a_silent_one(tmp_path: Path) -> None:
    """Set-ups must not be sent into a dead connection until the first one has timed out."""
    with Program(tmp_path) as program:
        caller, silent = program.caller(), program.servers[0].accept()
        caller.set_up(A, left=3000)
        silent.receive(Type.SET_UP)
        program.servers[0].accept()
        silent.sock.setblocking(False)
        with pytest.raises(BlockingIOError):  # the set-up has not been given up yet
            silent.sock.recv(1)


@pytest.mark.parametrize(("data", "reason"), [(b"", "mute"), (b"\0\x20\x01", "stalled")])
def test_a_caller_that_sends_no_complete_message_is_closed(tmp_path: Path, data: bytes, reason: str) -> None:
    with Program(tmp_path) as program:
        quiet, bad, server = program.caller(), program.caller(), program.servers[0].accept()
        set_up_call(quiet, server)
        bad.sock.sendall(data)
        assert bad.closed()
        program.logged(f"role=caller .*reason={reason}")
        server.release(A, 16)
        assert quiet.receive().call == A  # a connection that was answered may stay silent


def test_a_flood_of_mute_connections_keeps_no_caller_out(tmp_path: Path) -> None:
    """Mute connections must not use up the callers' descriptors: the oldest one is closed."""
    with Program(tmp_path) as program:
        server, quiet = program.servers[0].accept(), program.caller()
        set_up_call(quiet, server, B)
        flood = [program.caller() for _ in range(100)]  # of 64 descriptors, half are for callers
        set_up_call(program.caller(), server)
        assert flood[0].closed()
        server.release(B, 16)
        assert quiet.receive().call == B


def test_a_flood_closes_no_connection_of_a_host_that_has_calls(tmp_path: Path) -> None:
    """A calling host may wait for releases on a mute connection, which must then not be closed."""
    with Program(tmp_path) as program:
        server, first = program.servers[0].accept(), program.caller("127.0.0.2")
        set_up_call(first, server)
        waiting = program.caller("127.0.0.2")
        first.sock.close()
        flood = [program.caller() for _ in range(100)]
        assert flood[0].closed() and flood[60].closed()
        program.logged("role=caller .*reason=mute")  # the waiting connection is still open then
        server.release(A, 16)
        assert waiting.receive().call == A


def test_set_up_with_an_id_in_use_closes_its_connection(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.set_up(A)
        assert server.receive(Type.SET_UP).call == A
        caller.set_up(A)
        assert caller.closed()
        program.logged("role=caller .*reason=duplicate-id")
        assert server.receive(Type.RELEASE).call == A


@pytest.mark.parametrize("host", ["127.0.0.1", "127.0.0.2"])
@pytest.mark.parametrize("standing", [False, True])
def test_a_withdrawn_set_up_under_an_id_in_use_leaves_the_call_alone(
    tmp_path: Path, host: str, standing: bool
) -> None:
    """Guards against calls without a final message once another client has sent and withdrawn their id."""
    with Program(tmp_path) as program:
        caller, server, bad = program.caller(), program.servers[0].accept(), program.caller(host)
        if standing:
            set_up_call(caller, server)
        else:
            caller.set_up(A)
            assert server.receive(Type.SET_UP).call == A
        bad.sock.sendall(bad.set_up_bytes(A) + write_release(A, 16))
        if host == "127.0.0.1":
            assert bad.closed()
        else:
            assert bad.receive(Type.RELEASE_ACK).call == A
        set_up_call(caller, server, B)  # the withdrawal has been processed by now
        if not standing:
            server.send(Type.ANSWER, A, {Code.DESCRIPTION: DESCRIPTION})
            assert caller.receive(Type.ANSWER).call == A
        server.release(A, 16)
        assert (released := caller.receive(Type.RELEASE)).call == A and released.cause() == 16


def test_standing_call_survives_an_idle_close_and_is_released_on_the_next_connection(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        server.sock.close()
        again = program.servers[0].accept()
        again.release(A, 16)
        assert (released := caller.receive()).call == A and released.cause() == 16


def test_calls_of_a_server_that_is_gone_are_released(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server, discovery = program.caller(), program.servers[0].accept(), program.discovery.accept()
        set_up_call(caller, server)
        discovery.sock.sendall(frame(2, 2, (0, program.servers[0].port, 2)))
        assert caller.receive().cause() == 41
        assert server.closed()
        program.logged("role=server peer=s-00000000 reason=server-gone")


def test_calls_of_a_machine_cut_off_are_released_and_ended_there_once_it_is_back(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        assert server.receive().type == Type.TEST  # the server does not answer the keepalive
        assert caller.receive().cause() == 41
        assert program.servers[0].accept().closed()  # another connection, which stays silent too
        assert program.servers[0].accept().receive(Type.RELEASE).call == A


def write_in_two_pieces(server: Wire, message: bytes, gap: float) -> bool:
    """Write a message with a pause of ``gap`` s; return whether the connection was still open after it."""
    try:
        server.sock.sendall(message[:8])
        end = time.monotonic() + gap
        while (left := end - time.monotonic()) > 0.0 and select.select([server.sock], [], [], left)[0]:
            if not server.sock.recv(1024):
                return False
        server.sock.sendall(message[8:])
    except (ConnectionResetError, BrokenPipeError):  # closed by the program before it had read everything
        return False
    return True


@pytest.mark.parametrize(("state_gap", "release_gap"), [(0.1, 0.1), (0.0, 0.4), (0.0, 3.0), (3.0, 3.0)])
def test_calls_end_in_time_at_a_server_that_writes_in_pieces(
    tmp_path: Path, state_gap: float, release_gap: float
) -> None:
    """Guards against calls that stand for ever as each connection is closed before a release is whole."""
    state = write_message(Type.GROUP_STATE, bytes(8), {Code.REPORT: b"spare:1;total:2"})
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        ended = time.monotonic()
        open_still = write_in_two_pieces(server, write_release(A, 16), release_gap)
        while not (open_still or select.select([caller.sock], [], [], 0.0)[0]):
            assert time.monotonic() - ended < 8.0
            server = program.servers[0].accept()
            open_still = write_in_two_pieces(server, state, state_gap) and write_in_two_pieces(
                server, write_release(A, 16), release_gap
            )
        assert caller.receive(Type.RELEASE).call == A
        assert time.monotonic() - ended < 8.0


def test_calls_end_in_time_at_a_server_that_closes_each_new_connection(tmp_path: Path) -> None:
    """Guards against calls that stand for ever because each dial that succeeds counts as a sign of life."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up_call(caller, server)
        ended = time.monotonic()
        server.sock.close()
        while not select.select([caller.sock], [], [], 0.0)[0]:
            program.servers[0].accept().sock.close()
            assert time.monotonic() - ended < 8.0
        assert (released := caller.receive(Type.RELEASE)).call == A and released.cause() == 41


@pytest.mark.parametrize(("age", "cause"), [(60.0, 16), (-60.0, 41)])
def test_a_restart_reported_late_cuts_only_older_calls(tmp_path: Path, age: float, cause: int) -> None:
    with Program(tmp_path) as program:
        caller, server, discovery = program.caller(), program.servers[0].accept(), program.discovery.accept()
        set_up_call(caller, server)
        started = int((time.time() - age) * 1000)
        discovery.sock.sendall(frame(2, 2, (0, program.servers[0].port, 0), started=started))
        if cause == 16:  # the connection was opened after the restart and stays
            program.logged("server-listed .*number=2")
            server.release(A, 16)
        assert caller.receive().cause() == cause


def test_a_silent_discovery_service_is_dialled_again_with_the_last_number(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        discovery = program.discovery.accept()
        discovery.receive_exactly(8)
        discovery.sock.sendall(frame(5, 2, (1, program.servers[0].port, 0)))
        program.logged("role=board .*reason=silent")
        assert program.discovery.accept().receive_exactly(8) == (5).to_bytes(8, "big")


def test_sighup_moves_the_discovery_service_at_once_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        old, new = program.discovery.accept(), Listener()
        old.receive_exactly(8)
        old.sock.sendall(frame(5, 2, (1, program.servers[0].port, 0)))
        program.logged("server-listed .*number=5")
        good = program.config.read_text()
        program.reload(good[:-9])  # truncated
        program.logged("reload-failed detail=")
        program.reload(good.replace(f":{program.discovery.port}", f":{new.port}"))
        moved = new.accept()
        assert moved.receive_exactly(8) == (5).to_bytes(8, "big")  # the numbering continues
        moved.sock.sendall(frame(6, 2, (1, program.servers[0].port, 2)))
        program.logged("server-listed .*state=gone number=6")
        assert old.closed()
        set_up_call(program.caller(), program.servers[0].accept())
        new.close()


@pytest.mark.parametrize("data", [b"\0\x03abc", b"\xff\xff", b"\0\x0c\x01" + A + b"\x81\0\x09"])
def test_malformed_input_ends_that_connection_alone(tmp_path: Path, data: bytes) -> None:
    with Program(tmp_path) as program:
        bad, good, server = program.caller(), program.caller(), program.servers[0].accept()
        bad.set_up(B)
        assert server.receive(Type.SET_UP).call == B
        bad.sock.sendall(data)
        assert bad.closed()
        program.logged("role=caller .*reason=malformed")
        assert server.receive(Type.RELEASE).call == B  # its open call has been given up
        set_up_call(good, server)


def test_invalid_set_ups_fail_and_unknown_messages_are_skipped(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.send(Type.SET_UP, A, {Code.CLASS: b"voice"})
        assert caller.receive().cause() == 100
        caller.set_up(bytes(8))  # an all-zero id would make the server close the connection
        assert caller.receive().cause() == 100
        caller.send(99, A, {7: b"?"})
        caller.set_up(B, name=b"no such class")
        assert caller.receive().cause() == 47
        set_up_call(caller, server)


def test_a_blocked_caller_delays_only_itself(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        blocked, good, server = program.caller(), program.caller(), program.servers[0].accept()
        blocked.sock.setblocking(False)
        test = b"\0\x09\x34" + A  # the results are never read
        try:
            while True:
                blocked.sock.send(test * 1000)
        except OSError:
            pass
        set_up_call(good, server)
        program.logged("role=caller .*reason=blocked")


def test_calls_above_the_limit_are_refused(tmp_path: Path) -> None:
    with Program(tmp_path, max_open=1) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.set_up(A)
        server.receive(Type.SET_UP)
        caller.set_up(B)
        assert (answer := caller.receive()).call == B and answer.cause() == 42


def test_after_sigterm_late_arrivals_are_served_and_standing_calls_awaited(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        early, server = program.caller(), program.servers[0].accept()
        set_up_call(early, server)
        program.terminate()
        program.logged("state=stopping .*calls=1")
        late = program.caller()  # a new connection, after the signal
        set_up_call(late, server, B)
        server.release(B, 16)
        server.release(A, 16)
        assert (early.receive().call, late.receive().call) == (A, B)
        program.logged("stopped")
        assert program.process.wait(15) == 0


def test_server_announced_later_gets_calls(tmp_path: Path) -> None:
    with Program(tmp_path, servers=0) as program:
        caller, discovery, late = program.caller(), program.discovery.accept(), Listener()
        discovery.sock.sendall(frame(2, 2, (0, late.port, 0)))
        set_up_call(caller, late.accept())
        late.close()


def test_release_lost_with_its_connection_comes_on_a_new_one_though_another_is_open(tmp_path: Path) -> None:
    """A connection closes within a release; another one is opened although a second one is still open."""
    with Program(tmp_path) as program:
        caller, first, _ = open_two_connections(program)
        first.sock.sendall(write_release(A, 16)[:7])
        assert first.closed()
        began = time.monotonic()
        program.servers[0].accept().release(A, 16)
        assert caller.receive(Type.RELEASE).call == A
        # Required by the protocol; a keepalive would be sent only after 3.5 s.
        assert time.monotonic() - began < 1.0
