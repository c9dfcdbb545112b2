"""Tests of the call ledger: it counts each fault, and an answer that arrived in time is no fault."""

from __future__ import annotations

import pytest

from martentide_lab import call_ledger
from martentide_lab.call_ledger import CallFault, CallLedger

CALL = b"\0" * 7 + b"\1"


@pytest.mark.parametrize(
    ("events", "fault"),
    [
        ("wf", None),  # w: set-up written; f: final answer; x: expiry check
        ("wfx", None),  # the answer arrived before the expiry check
        ("wx", CallFault.LOST),
        ("wxf", CallFault.LATE),
        ("wff", CallFault.DOUBLED),
        ("wxff", CallFault.DOUBLED),
        ("fx", None),  # the set-up was never written completely
    ],
)
def test_sequence_of_events_yields_the_expected_fault(events: str, fault: CallFault | None) -> None:
    ledger = CallLedger()
    for event in events:
        match event:
            case "w":
                ledger.record_set_up(CALL, 5.0)
            case "f":
                ledger.record_final_answer(CALL)
            case "x":
                ledger.expire(CALL)
    assert ledger.faults() == ([(fault, 5.0)] if fault else [])


def test_fault_of_a_dropped_entry_stays_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(call_ledger, "MAX_REMEMBERED_CALLS", 1)
    ledger = CallLedger()
    ledger.record_set_up(CALL, 1.0)
    ledger.expire(CALL)
    ledger.record_set_up(b"\0" * 7 + b"\2", 2.0)
    assert len(ledger.entries) == 1 and ledger.counts()[CallFault.LOST] == 1
