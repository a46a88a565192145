"""Formats JSON objects as plain text for the terminal."""

from collections.abc import Mapping, Sequence

EMPTY_VALUE = "-"


def render_object(value: Mapping[str, object]) -> str:
    """Formats scalars as lines and lists of mappings as tables."""
    scalars = {k: v for k, v in value.items() if not _is_table(v)}
    width = max((len(key) for key in scalars), default=0)
    sections = [
        "\n".join(
            f"{_format_value(k).ljust(width)}  {_format_value(v)}"
            for k, v in scalars.items()
        )
    ]
    for key, rows in value.items():
        if isinstance(rows, list) and _is_table(rows):
            sections.append(f"{_format_value(key)}:\n{render_table(rows)}")
    return "\n\n".join(part for part in sections if part)


def render_table(rows: Sequence[Mapping[str, object]]) -> str:
    """Formats mappings as rows; the columns are all keys, first seen first."""
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[_format_value(column) for column in columns]]
    cells += [[_format_value(row.get(c, "")) for c in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )


def _is_table(value: object) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(row, dict) for row in value)
    )


def _format_value(value: object) -> str:
    if value is None or value == "" or value == []:
        return EMPTY_VALUE
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, list):
        return ", ".join(_format_value(item) for item in value)
    # Control characters in a daemon's answer must not reach the terminal.
    return "".join(c if c.isprintable() else "?" for c in str(value))
