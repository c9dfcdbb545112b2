"""The simulator's wire protocol and the hosting of instances, tested with text input and output."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path

import pytest

from martentide.interface import (
    Action,
    AttemptEnded,
    CallerGone,
    CancelAttempt,
    Ending,
    Event,
    Fail,
    FollowList,
    Note,
    PeerMessage,
    Probe,
    ProbeEnded,
    Refuse,
    Report,
    ReportBy,
    SendSetUp,
    ServerState,
    SetTimer,
    SetUpOffered,
    Stands,
    TellPeer,
    TimerDue,
)
from martentide.settings import SettingsError, read_settings
from martentide.simhost import (
    read_event,
    read_report,
    read_server,
    serve,
    split_line,
    write_action,
)

FIELDS = ("spare", "total", "cut_by", "mean_ms")
PROFILE = {
    "callers": {"marks_retry": False},
    "classes": [
        {
            "aim_ms": 900.0,
            "deadline_ms": 5000.0,
            "late_share": 0.2,
            "name": "c",
            "repeat": "read_like",
            "worth": 1,
        }
    ],
    "extra": {
        "layout": "groups",
        "own_number": -1,
        "pools_by_class": [[0, 1]],
        "release_ms": 200.0,
        "t1_ms": 400.0,
    },
    "feedback": {"fields": list(FIELDS), "how": "answers"},
    "limits": {
        "max_attempts": 3,
        "max_retry_after_ms": 1000.0,
        "may_cancel": True,
        "peers": False,
        "probes": False,
        "retry_after": True,
    },
    "membership_mode": "automatic",
    "n_instances": 2,
    "over_share_worth": 0.1,
    "parties": [{"name": "t", "allowance_per_s": 4.0, "share": 1.0}],
    "rules": {
        "answer_slack_ms": 20.0,
        "cold_ms": 9000.0,
        "cold_share": 0.4,
        "fall_multiple": 2.0,
        "fall_ms": 900.0,
    },
    "slot_no": 0,
    "unknown key": [1],
}
CREATE = f"CREATE 5 {json.dumps(PROFILE)}"
LIST = "CATALOG 0 1\nSERVER k healthy z - a 10 0\nMEMBERSHIP remembered 0 0"
CALL = "JOB_IN 9 c - dn.x 900.0 - 0 1 -1 0 0 0 0"


def serve_text(text: str) -> list[str]:
    """Serve these input lines; return the output lines."""
    sink = io.StringIO()
    serve(io.StringIO(text), sink)
    return sink.getvalue().splitlines()


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (
            "JOB_IN 7 c t dn.1 240.0 12.0 5 1 -1 1 0 1 0",
            SetUpOffered(7, "c", "t", "dn.1", 240.0, 5, True, True),
        ),
        ("JOB_IN 7 c - - -3 - - 1 - 0 0 0 0", SetUpOffered(7, "c", None, None, -3.0, -1, False, False)),
        ("ACK_FIRST 7 9.25 1 a", Stands(7, 1, "a", 9.25)),
        ("CANCELLED_BY_CLIENT 7", CallerGone(7)),
        ("WAKE 3", TimerDue(3)),
        (
            "PROBED 1.4 delivered a 4,9,0.5,-1",
            ProbeEnded("a", Ending.DELIVERED, False, 1.4, Report(4.0, 0.5, None)),
        ),
        (
            "PROBED 0.0 delivered a 4,9,-1,-1",
            ProbeEnded("a", Ending.DELIVERED, True, 0.0, Report(4.0, None, None)),
        ),
        ("PROBED 250.0 expired a -", ProbeEnded("a", Ending.TIMED_OUT, False, 250.0, None)),
        (
            "REPLY 7 a 1 - 0 18.5 delivered 4,9,0,30.5",
            AttemptEnded(7, 0, "a", Ending.DELIVERED, True, False, 18.5, Report(4.0, 0.0, 30.5)),
        ),
        ("REPLY 7 a 0 1 0 18.5 shed -", AttemptEnded(7, 0, "a", Ending.FULL, False, True, 18.5, None)),
        ("REPLY 7 a 0 3 0 1 shed -1,-1", AttemptEnded(7, 0, "a", Ending.FULL, False, False, 1.0, None)),
        ("REPLY 7 a 0 803 0 1 shed -", AttemptEnded(7, 0, "a", Ending.FULL, False, False, 1.0, None)),
        ("NOTE_FROM 2 6869", PeerMessage(2, b"hi")),
        ("NOTE_FROM 2 -", PeerMessage(2, b"")),
    ],
)
def test_events_are_decoded(line: str, event: Event) -> None:
    name, values = split_line(line)
    assert read_event(name, values, FIELDS) == event


@pytest.mark.parametrize(
    ("verdict", "ending"),
    [
        ("app_error", Ending.ERROR),
        ("expired", Ending.TIMED_OUT),
        ("dial_failed", Ending.UNREACHABLE),
        ("dropped", Ending.CUT),
        ("revoked", Ending.CANCELLED),
        ("unused", Ending.NOT_SENT),
    ],
)
def test_endings_are_decoded(verdict: str, ending: Ending) -> None:
    event = read_event("REPLY", f"7 a 0 - 0 1 {verdict} -".split(), FIELDS)
    assert isinstance(event, AttemptEnded) and event.ending is ending


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (SendSetUp(7, "a", 80.0), "PLACE 7 a 80.000"),
        (Refuse(7, 250.0), "NOT_NOW 7 250.000"),
        (Fail(7), "END_FAILED 7"),
        (CancelAttempt(7, 1), "CANCEL 7 1"),
        (SetTimer(3, 50.0), "WAKE_ME 3 50.000"),
        (Probe("a"), "TOUCH a"),
        (TellPeer(4, b"hi"), "SIGNAL 4 6869"),
        (FollowList(), "KEEP_INFORMED 1"),
        (Note("two\nlines"), "PRINT two lines"),
    ],
)
def test_actions_are_encoded(action: Action, line: str) -> None:
    assert write_action(action) == line


def test_server_lines_are_decoded() -> None:
    server = read_server(["k", "cordoned", "z", "6100.0", "a", "1.5", "4"])
    assert (server.name, server.place, server.zone) == ("a", 4, "z")
    assert (server.state, server.started, server.size) == (ServerState.DRAINING, 6100.0, 1.5)
    assert read_server(["k", "healthy", "z", "0", "a", "-", "4"]).started is None


def test_settings_are_read_and_unknown_keys_ignored() -> None:
    settings = read_settings(json.dumps(PROFILE))
    assert settings.report_by is ReportBy.ANSWERS and settings.classes[0].pools == (0, 1)
    assert settings.tenants[0].allowance == 4.0 and settings.max_hold_off == 1000.0


@pytest.mark.parametrize("key", ["classes", "extra", "limits", "rules", "n_instances", "feedback"])
def test_missing_settings_are_named(key: str) -> None:
    incomplete = {name: value for name, value in PROFILE.items() if name != key}
    with pytest.raises(SettingsError, match=key):
        read_settings(json.dumps(incomplete))


def test_call_is_sent_and_instances_are_independent() -> None:
    replies = serve_text(f"BATCH 1000.0\nFOR 3\n{CREATE}\n{LIST}\n{CALL}\nFOR 4\n{CREATE}\n{LIST}\nEND\n")
    assert replies[0] == "SOURCE 3" and replies[-1] == "READY"
    assert [line for line in replies if line.startswith("PLACE 9 a ")]
    assert replies[replies.index("SOURCE 4") + 1 :][0].startswith("WAKE_ME")


def test_empty_batches_and_end_of_input() -> None:
    assert serve_text("BATCH 1.0\nEND\n\nBATCH 2.0\nEND\n") == ["READY", "READY"]


def test_list_number_refers_to_the_latest_earlier_list() -> None:
    later_list = "CATALOG 0 1\nSERVER k healthy z - b 10 1\nMEMBERSHIP all 1 0"
    replies = serve_text(f"BATCH 1.0\nFOR 3\n{CREATE}\n{LIST}\n{later_list}\n{CALL}\nEND\n")
    assert [line.split()[2] for line in replies if line.startswith("PLACE")] == ["b"]


def test_restart_within_a_batch_discards_earlier_actions() -> None:
    replies = serve_text(f"BATCH 1.0\nFOR 3\n{CREATE}\n{LIST}\n{CALL}\nRETIRE\n{CREATE}\n{LIST}\nEND\n")
    assert not [line for line in replies if line.startswith("PLACE")]
    assert [line for line in replies if line.startswith("WAKE_ME")]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("HELLO\n", "line 1: unknown message 'HELLO'"),
        ("BATCH 1.0\nFOR 3\nWAKE 1\nEND\n", "line 3: WAKE: instance 3 was never created"),
        ("BATCH 1.0\nFOR x\nEND\n", "line 2: proxy: 'x' is not valid"),
        ("BATCH 1.0\nFOR 3\nWAKE\nEND\n", "line 3: WAKE: 1 values expected, 0 found"),
        ("BATCH 1.0\nWAKE 1\nEND\n", "line 2: WAKE: no FOR line names its instance"),
        ("BATCH 1.0\nCATALOG 0 2\nEND\n", "line 2: CATALOG: fewer SERVER lines than it announces"),
        (
            f"BATCH 1.0\nFOR 3\n{CREATE}\nMEMBERSHIP all 1 4\nEND\n",
            "line 4: MEMBERSHIP: no CATALOG 4 was given",
        ),
        (
            "BATCH 1.0\nFOR 3\nCREATE 5 {\nEND\n",
            "line 3: profile_data: feedback.fields is missing or not valid",
        ),
        (
            f"BATCH 1.0\nFOR 3\n{CREATE}\n{CALL.replace(' c ', ' d ')}\nEND\n",
            "line 4: lane: 'd' is not a class",
        ),
        ("BATCH 1.0\nFOR 3\n", "line 2: input ended inside a batch"),
    ],
)
def test_bad_input_gives_one_error_message(text: str, message: str) -> None:
    done = subprocess.run(
        [sys.executable, "-B", "-m", "martentide.simhost"],
        input=text,
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent,
        timeout=30,
    )
    assert done.returncode == 1
    assert done.stderr == f"martentide: {message}\n"
    assert done.stdout == ""


def test_decision_module_stays_within_its_limits_of_size_and_imports() -> None:
    """Limits the lines, columns and imports of ``martentide/rules.py``; it must not read a clock."""
    package = Path(__file__).parent.parent / "martentide"
    text = (package / "rules.py").read_text()
    lines = text.splitlines()
    assert sum(1 for line in lines if line.strip()) <= 750
    assert max(len(line) for line in lines) <= 110
    assert "martentide/interface.py" in lines[0]
    imported = {line.split()[1].split(".")[0] for line in lines if line.startswith(("import ", "from "))}
    assert imported <= set(sys.stdlib_module_names) | {"martentide"}
    assert "time" not in imported and "datetime" not in imported


@pytest.mark.parametrize("text", ["-1,-1,-1", "nan,nan,nan", "inf,inf,inf", "-,-,-"])
def test_report_without_usable_figures_is_none(text: str) -> None:
    assert read_report(text, ("spare", "cut_by", "mean_ms")) is None
