"""The library example of the README runs and prints the action that the README names."""

import contextlib
import io
import re
from pathlib import Path


def test_readme_example_prints_its_action() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    example = re.search(r"```python\n(.*?)```", text, re.S)
    assert example is not None
    stdout = io.StringIO()
    with contextlib.redirect_stdout(stdout):
        exec(compile(example.group(1), "README.md", "exec"), {})
    printed = stdout.getvalue().splitlines()
    assert len(printed) == 1 and printed[0].startswith("SendSetUp(ref=17, server='core-a'")
