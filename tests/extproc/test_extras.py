"""The extras file: which subsystems it enables, and one line for each error."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from martentide.extproc.limits import Limits
from martentide.extproc.sessions import SessionSettings
from martentide.extras import ExtrasError, load_extras, read_extras
from martentide.settings import settings_from
from tests.net.support import ROOT, SETTINGS

PROXY_SETTINGS = settings_from(SETTINGS)
BASE = 'external-processor {{\n listen "127.0.0.1:7443"\n {}\n}}'


def test_example_file_matches_the_defaults() -> None:
    part = load_extras(str(ROOT / "deploy/extras.example.kdl"), PROXY_SETTINGS).external_processor
    plain = read_extras(BASE.format(""), "f", PROXY_SETTINGS).external_processor
    assert part == plain and part is not None
    assert part.admission_limits() == Limits() and part.session_settings() == SessionSettings()
    settings = part.lifecycle_settings(PROXY_SETTINGS, single_attempt=True)
    assert (settings.release_wait, settings.max_attempts, settings.single_attempt) == (200.0, 5, True)


def test_empty_file_enables_no_external_processor() -> None:
    assert read_extras("// nothing", "f", PROXY_SETTINGS).external_processor is None


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("external-processor {", "f: line 1: Unexpected end of data"),
        ('external-processor {\n listen "a:1"\n x=\n}', "f: line 3: "),
        ("extern-processor {}", "f: extern-processor: unknown node; did you mean external-processor?"),
        ('external-processor "x"', "takes no values of its own"),
        ("external-processor {}", "f: external-processor: expected a node listen, found none"),
        ("external-processor {\n listen 5\n}", "expected an address HOST:PORT, found 5"),
        ('external-processor {\n listen "here"\n}', "expected HOST:PORT, found 'here'"),
        (BASE.format('listen "a:2"'), "external-processor/listen: appears twice"),
        (BASE.format('services "grpc"'), "expected one of decisions, ext-proc, found 'grpc'"),
        (BASE.format("limits reserv=1"), "limits: reserv: unknown property; did you mean reserve?"),
        (BASE.format("limits reserve=2"), "limits: reserve: expected `float` <= 1.0, found 2"),
        (BASE.format('limits reserve="x"'), "expected `float`, got `str`, found 'x'"),
        (BASE.format("times valid-for-ms=1900"), "valid-for-ms: expected `float` <= 1800.0, found 1900"),
        (BASE.format("limits 5"), "limits: expected properties NAME=VALUE only"),
        (BASE.format("limit pending-all=1"), "limit: unknown node; did you mean limits?"),
        (BASE.format('headers server="X y"'), "headers: server: expected `str` matching"),
        (
            'learned-state {\n folder "here"\n}',
            "learned-state/folder: expected a path from the root, found 'here'",
        ),
        ("learned-state {}", "f: learned-state: expected a node folder, found none"),
        (
            'learned-state {\n folder "/x"\n times period-ms=1\n}',
            "period-ms: expected `float` >= 50.0, found 1",
        ),
        ('learned-state {\n folder "/x"\n tims\n}', "learned-state/tims: unknown node; did you mean times?"),
        (BASE.format("own-links 1"), "own-links: expected #true or #false, found 1"),
    ],
)
def test_error_message_states_the_place_and_the_expected_value(text: str, message: str) -> None:
    with pytest.raises(ExtrasError) as caught:
        read_extras(text, "f", PROXY_SETTINGS)
    assert message in str(caught.value) and "\n" not in str(caught.value)


@pytest.mark.parametrize(("raw", "message"), [(None, "No such file"), (b"\xff", "not UTF-8")])
def test_unreadable_file_raises_an_error(tmp_path: Path, raw: bytes | None, message: str) -> None:
    path = tmp_path / "extras.kdl"
    if raw is not None:
        path.write_bytes(raw)
    with pytest.raises(ExtrasError, match=message):
        load_extras(str(path), PROXY_SETTINGS)


def test_importing_the_service_loads_no_optional_libraries() -> None:
    code = (
        "import sys, martentide.cli, martentide.net.service; "
        "print([name for name in ('grpc', 'google', 'msgspec', 'ckdl', 'envoy') if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, timeout=30)
    assert done.stdout == "[]\n", done.stderr
