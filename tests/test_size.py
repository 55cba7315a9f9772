"""The operators read the module aloud: it stays within 490 non-blank lines of at most 110 characters."""

from pathlib import Path


def test_module_size() -> None:
    text = (Path(__file__).parent.parent / "vanegw" / "rules.py").read_text(encoding="utf-8")
    lines = [line for line in text.splitlines() if line.strip()]
    assert 0 < len(lines) <= 490
    assert max(len(line) for line in lines) <= 110
    assert "vanegw/interface.py" in text.split('"""')[1]
