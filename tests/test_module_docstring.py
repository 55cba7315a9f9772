"""The docstring of the decision module names the interface, so that a reader finds the types it uses."""

from pathlib import Path


def test_docstring_names_the_interface() -> None:
    text = (Path(__file__).parent.parent / "vanegw" / "rules.py").read_text(encoding="utf-8")
    assert "vanegw/interface.py" in text.split('"""')[1]
