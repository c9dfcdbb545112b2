"""The started program on real sockets: one test for each rule of the protocol."""

from __future__ import annotations

import select
import time
from pathlib import Path

import pytest

from martentide.codec.messages import Code, Message, Type, write_release
from tests.net.support import DESCRIPTION, Listener, Program, Wire, frame

A, B = bytes.fromhex("0123456789abcdef"), bytes.fromhex("fedcba9876543210")


def stand(caller: Wire, server: Wire, call: bytes = A) -> Message:
    """Set a call up, through to the caller's answer."""
    caller.set_up(call)
    set_up = server.receive(Type.SET_UP)
    server.send(Type.ANSWER, call, {Code.DESCRIPTION: DESCRIPTION[::-1]})
    answer = caller.receive()
    assert (answer.type, answer.call) == (Type.ANSWER, call)
    assert answer.parameters == {Code.DESCRIPTION: DESCRIPTION[::-1]}
    return set_up


def test_a_call_goes_on_unchanged_stands_and_is_released(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        set_up = stand(caller, server)
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
        stand(first, server)
        first.sock.close()
        program.logged("role=caller .*reason=peer-closed")
        second = program.caller()
        second.release(A, 16)
        assert second.receive().type == Type.RELEASE_HEARD
        assert server.receive().call == A


def test_a_release_waits_for_the_partys_next_connection(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        first, server = program.caller(), program.servers[0].accept()
        stand(first, server)
        first.sock.close()
        program.logged("role=caller .*reason=peer-closed")
        server.release(A, 16)
        assert program.caller().receive().call == A


def test_a_test_of_the_front_passes(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller = program.caller()
        caller.send(Type.TEST, A, {Code.CAUSE: b"\0"})
        assert (result := caller.receive()).type == Type.TEST_RESULT and result.cause() == 1


def test_one_answer_in_time_though_the_server_is_silent(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller = program.caller()
        program.servers[0].accept()
        caller.set_up(A, left=300)
        assert (answer := caller.receive()).type == Type.RELEASE and answer.cause() not in (16, 34, 42, 102)
        caller.set_up(B, left=300)
        assert caller.receive().call == B  # nothing more about the first came before


def test_a_call_given_up_is_given_up_at_the_server_and_owed_nothing(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.set_up(A)
        server.receive(Type.SET_UP)
        caller.release(A, 16)
        assert caller.receive().type == Type.RELEASE_HEARD
        assert (give_up := server.receive()).call == A and give_up.cause() == 16
        server.send(Type.ANSWER, A, {Code.DESCRIPTION: b"late"})  # crossing: not for the caller any more
        stand(caller, server, B)


def test_a_late_word_never_counts_for_the_next_attempt(tmp_path: Path) -> None:
    """The first attempt is given up on time-out; its late answer must not answer the second attempt."""
    with Program(tmp_path, servers=2) as program:
        caller = program.caller()
        servers = [listener.accept() for listener in program.servers]
        caller.set_up(A)
        set_up = servers[0].receive(Type.SET_UP)
        given_up = servers[0].receive(Type.RELEASE)  # written before anything goes to the other server
        over = time.monotonic()
        assert (set_up.call, given_up.cause()) == (A, 16)
        second = servers[1].receive(Type.SET_UP)
        assert second.call == A and time.monotonic() - over > 0.15  # the release is awaited: 200 ms
        servers[0].send(Type.ANSWER, A, {Code.DESCRIPTION: b"late"})
        servers[1].send(Type.ANSWER, A, {Code.DESCRIPTION: b"good"})
        assert caller.receive().parameters == {Code.DESCRIPTION: b"good"}


def test_nothing_new_goes_to_a_draining_server(tmp_path: Path) -> None:
    with Program(tmp_path, servers=2) as program:
        caller, board = program.caller(), program.board.accept()
        assert board.exactly(8) == (1).to_bytes(8, "big")
        board.sock.sendall(frame(2, 2, (0, program.servers[0].port, 1)))
        program.logged("server-listed server=s-00000000 state=draining")
        other = program.servers[1].accept()
        for call in (A, B):
            stand(caller, other, call)  # though both name the draining server first


def test_a_refused_connection_is_no_attempt_that_ran(tmp_path: Path) -> None:
    with Program(tmp_path, servers=2) as program:
        caller, first = program.caller(), program.servers[0].accept()
        program.servers[0].close()
        first.reset()
        program.logged("reason=dial-refused")
        stand(caller, program.servers[1].accept())


def test_calls_of_a_dead_process_are_released_to_the_caller(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        stand(caller, server)
        program.servers[0].close()
        server.reset()
        assert (released := caller.receive()).call == A and released.cause() == 41


def test_a_reset_alone_cuts_no_call(tmp_path: Path) -> None:
    """Guards against releasing calls that still stand: connections are reset for many reasons."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        stand(caller, server)
        server.reset()
        again = program.servers[0].accept()
        again.release(A, 16)
        assert (released := caller.receive()).call == A and released.cause() == 16


@pytest.mark.parametrize("spoilt", [b"\xff\xf3\x09" + A, b"\0\x20\x09" + A])  # too long, cut short
def test_a_spoilt_answer_costs_only_its_link(tmp_path: Path, spoilt: bytes) -> None:
    """Guards against waiting on a link that can't be read any more, and against cutting what stands there."""
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        stand(caller, server)
        caller.set_up(B)
        server.receive(Type.SET_UP)
        server.sock.sendall(spoilt)
        assert server.closed()
        again = program.servers[0].accept()
        assert again.receive(Type.RELEASE).call == B  # the server may hold it: what was spoilt was an answer
        assert again.receive(Type.SET_UP).call == B
        again.send(Type.ANSWER, B, {Code.DESCRIPTION: DESCRIPTION})
        again.release(A, 16)
        assert [caller.receive().call, caller.receive().call] == [B, A]


def test_a_link_that_falls_silent_is_left_and_its_calls_stay(tmp_path: Path) -> None:
    """Guards against taking the server for lost, and against waiting there, when one link of it is dead."""
    with Program(tmp_path) as program:
        caller, silent = program.caller(), program.servers[0].accept()
        stand(caller, silent)
        caller.set_up(B, left=400)
        assert caller.receive().call == B  # nothing came for it
        other = program.servers[0].accept()
        other.send(Type.GROUP_STATE, bytes(8), {Code.REPORT: b"x0:9"})
        for _ in range(4):  # s, or so: the server is tested meanwhile, and is there
            other.send(Type.TEST_RESULT, other.receive(Type.TEST).call, {Code.CAUSE: b"\x01"})
        program.logged("role=server .*reason=silent")
        other.release(A, 16)
        assert (released := caller.receive()).call == A and released.cause() == 16


def two_links(program: Program) -> tuple[Wire, Wire, Wire]:
    """A caller whose call A stands over the first of two links to one server."""
    caller, first = program.caller(), program.servers[0].accept()
    stand(caller, first)
    caller.set_up(B)
    first.receive(Type.SET_UP)  # and no word: another link is opened beside
    second = program.servers[0].accept()
    second.send(Type.GROUP_STATE, bytes(8))
    first.send(Type.ANSWER, B, {Code.DESCRIPTION: b"x"})
    assert caller.receive().type == Type.ANSWER
    return caller, first, second


def test_a_quiet_server_is_tested_late_and_at_first_on_one_link(tmp_path: Path) -> None:
    """Guards against tests that are few from one proxy and thousands from two hundred."""
    with Program(tmp_path) as program:
        _, first, second = two_links(program)
        began = time.monotonic()
        links = [first.sock, second.sock]
        assert select.select(links, [], [], 10.0)[0]
        assert time.monotonic() - began > 3.0
        time.sleep(0.1)
        assert len(select.select(links, [], [], 0.0)[0]) == 1


def test_another_link_is_opened_while_a_set_up_still_waits_on_a_silent_one(tmp_path: Path) -> None:
    """Guards against sending into a dead link until the first set-up's whole time is over."""
    with Program(tmp_path) as program:
        caller, silent = program.caller(), program.servers[0].accept()
        caller.set_up(A, left=3000)
        silent.receive(Type.SET_UP)
        program.servers[0].accept()
        silent.sock.setblocking(False)
        with pytest.raises(BlockingIOError):  # it has not been given up yet
            silent.sock.recv(1)


@pytest.mark.parametrize(("data", "reason"), [(b"", "mute"), (b"\0\x20\x01", "stalled")])
def test_a_caller_that_says_nothing_whole_is_closed(tmp_path: Path, data: bytes, reason: str) -> None:
    with Program(tmp_path) as program:
        quiet, bad, server = program.caller(), program.caller(), program.servers[0].accept()
        stand(quiet, server)
        bad.sock.sendall(data)
        assert bad.closed()
        program.logged(f"role=caller .*reason={reason}")
        server.release(A, 16)
        assert quiet.receive().call == A  # one that was answered may stay and say nothing


def test_a_flood_of_mute_connections_keeps_no_caller_out(tmp_path: Path) -> None:
    """Guards against connections that take every descriptor of the callers: the oldest mute one goes."""
    with Program(tmp_path) as program:
        server, quiet = program.servers[0].accept(), program.caller()
        stand(quiet, server, B)
        flood = [program.caller() for _ in range(100)]  # of 64 descriptors, half are for callers
        stand(program.caller(), server)
        assert flood[0].closed()
        server.release(B, 16)
        assert quiet.receive().call == B


def test_a_flood_takes_no_link_of_a_party_that_has_calls(tmp_path: Path) -> None:
    """Guards against releases that reach nobody: a party may wait for them on a link that says nothing."""
    with Program(tmp_path) as program:
        server, first = program.servers[0].accept(), program.caller("127.0.0.2")
        stand(first, server)
        waiting = program.caller("127.0.0.2")
        first.sock.close()
        flood = [program.caller() for _ in range(100)]
        assert flood[0].closed() and flood[60].closed()
        program.logged("role=caller .*reason=mute")  # so much later the waiting one is still there
        server.release(A, 16)
        assert waiting.receive().call == A


def test_an_id_in_use_ends_the_connection_that_brings_it_again(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.set_up(A)
        assert server.receive(Type.SET_UP).call == A
        caller.set_up(A)
        assert caller.closed()
        program.logged("role=caller .*reason=duplicate-id")
        assert server.receive(Type.RELEASE).call == A


def test_an_idle_close_cuts_nothing_and_the_release_comes_on_the_next_link(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        stand(caller, server)
        server.sock.close()
        again = program.servers[0].accept()
        again.release(A, 16)
        assert (released := caller.receive()).call == A and released.cause() == 16


def test_calls_of_a_server_that_is_gone_are_released(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server, board = program.caller(), program.servers[0].accept(), program.board.accept()
        stand(caller, server)
        board.sock.sendall(frame(2, 2, (0, program.servers[0].port, 2)))
        assert caller.receive().cause() == 41
        assert server.closed()
        program.logged("role=server peer=s-00000000 reason=server-gone")


def test_calls_of_a_machine_cut_off_are_released_and_ended_there_once_it_is_back(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        stand(caller, server)
        assert server.receive().type == Type.TEST  # asked for a sign of life, it gives none
        assert caller.receive().cause() == 41
        assert program.servers[0].accept().closed()  # another link, which stays as silent
        assert program.servers[0].accept().receive(Type.RELEASE).call == A


@pytest.mark.parametrize(("age", "cause"), [(60.0, 16), (-60.0, 41)])
def test_a_restart_told_late_cuts_only_what_is_older(tmp_path: Path, age: float, cause: int) -> None:
    with Program(tmp_path) as program:
        caller, server, board = program.caller(), program.servers[0].accept(), program.board.accept()
        stand(caller, server)
        started = int((time.time() - age) * 1000)
        board.sock.sendall(frame(2, 2, (0, program.servers[0].port, 0), started=started))
        if cause == 16:  # the link is younger than the start: it is the new process's
            program.logged("server-listed .*number=2")
            server.release(A, 16)
        assert caller.receive().cause() == cause


def test_a_silent_board_is_dialled_again_with_the_last_number(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        board = program.board.accept()
        board.exactly(8)
        board.sock.sendall(frame(5, 2, (1, program.servers[0].port, 0)))
        program.logged("role=board .*reason=silent")
        assert program.board.accept().exactly(8) == (5).to_bytes(8, "big")


def test_sighup_moves_the_board_at_once_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        old, new = program.board.accept(), Listener()
        old.exactly(8)
        old.sock.sendall(frame(5, 2, (1, program.servers[0].port, 0)))
        program.logged("server-listed .*number=5")
        good = program.config.read_text()
        program.reload(good[:-9])  # cut short
        program.logged("reload-failed detail=")
        program.reload(good.replace(f":{program.board.port}", f":{new.port}"))
        moved = new.accept()
        assert moved.exactly(8) == (5).to_bytes(8, "big")  # its numbers continue
        moved.sock.sendall(frame(6, 2, (1, program.servers[0].port, 2)))
        program.logged("server-listed .*state=gone number=6")
        assert old.closed()
        stand(program.caller(), program.servers[0].accept())
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
        assert server.receive(Type.RELEASE).call == B  # its open call is settled
        stand(good, server)


def test_a_set_up_that_lacks_a_field_fails_and_unknown_ones_are_skipped(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.send(Type.SET_UP, A, {Code.CLASS: b"voice"})
        assert caller.receive().cause() == 100
        caller.set_up(bytes(8))  # no id: what a server can't read costs its other set-ups their connection
        assert caller.receive().cause() == 100
        caller.send(99, A, {7: b"?"})
        caller.set_up(B, name=b"no such class")
        assert caller.receive().cause() == 47
        stand(caller, server)


def test_a_blocked_caller_delays_only_itself(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        blocked, good, server = program.caller(), program.caller(), program.servers[0].accept()
        blocked.sock.setblocking(False)
        test = b"\0\x09\x34" + A  # its answers are never read
        try:
            while True:
                blocked.sock.send(test * 1000)
        except OSError:
            pass
        stand(good, server)
        program.logged("role=caller .*reason=blocked")


def test_calls_past_the_limit_are_refused(tmp_path: Path) -> None:
    with Program(tmp_path, max_open=1) as program:
        caller, server = program.caller(), program.servers[0].accept()
        caller.set_up(A)
        server.receive(Type.SET_UP)
        caller.set_up(B)
        assert (answer := caller.receive()).call == B and answer.cause() == 42


def test_after_sigterm_late_arrivals_are_served_and_standing_calls_awaited(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        early, server = program.caller(), program.servers[0].accept()
        stand(early, server)
        program.terminate()
        program.logged("state=stopping .*calls=1")
        late = program.caller()  # a new connection, after the signal
        stand(late, server, B)
        server.release(B, 16)
        server.release(A, 16)
        assert (early.receive().call, late.receive().call) == (A, B)
        program.logged("stopped")
        assert program.process.wait(15) == 0


def test_a_server_that_appears_is_used(tmp_path: Path) -> None:
    with Program(tmp_path, servers=0) as program:
        caller, board, late = program.caller(), program.board.accept(), Listener()
        board.sock.sendall(frame(2, 2, (0, late.port, 0)))
        stand(caller, late.accept())
        late.close()


def test_a_release_lost_with_its_link_is_heard_on_the_next_though_another_is_open(tmp_path: Path) -> None:
    """A server stops in the middle of a call's release; its other link is no reason not to open a third."""
    with Program(tmp_path) as program:
        caller, first, _ = two_links(program)
        first.sock.sendall(write_release(A, 16)[:7])
        assert first.closed()
        began = time.monotonic()
        program.servers[0].accept().release(A, 16)
        assert caller.receive(Type.RELEASE).call == A
        assert time.monotonic() - began < 1.0  # the rule's second; silence would be looked into after 3.5 s
