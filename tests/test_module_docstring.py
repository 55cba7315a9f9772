"""The decision module names its interface in its docstring, so that a reader finds the types it works with."""

from pathlib import Path


def test_the_docstring_names_the_interface() -> None:
    text = (Path(__file__).parent.parent / "vanegw" / "rules.py").read_text(encoding="utf-8")
    assert "vanegw/interface.py" in text.split('"""')[1]
