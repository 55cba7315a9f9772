"""The README's example shows the library's public interface; it must run unchanged."""

import re
from pathlib import Path


def test_readme_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    namespace: dict[str, object] = {}
    exec(code, namespace)
    attempt = namespace["attempt"]
    assert attempt.id == "r1" and attempt.backend in ("a", "b")  # type: ignore[attr-defined]
