"""JSON objects laid out as text for a person."""

from collections.abc import Mapping, Sequence

NOTHING = "-"


def render_object(value: Mapping[str, object]) -> str:
    """Lays out plain values as lines and lists of mappings as tables."""
    plain = {k: v for k, v in value.items() if not _is_table(v)}
    width = max((len(key) for key in plain), default=0)
    parts = [
        "\n".join(
            f"{_write(k).ljust(width)}  {_write(v)}" for k, v in plain.items()
        )
    ]
    for key, rows in value.items():
        if isinstance(rows, list) and _is_table(rows):
            parts.append(f"{_write(key)}:\n{render_table(rows)}")
    return "\n\n".join(part for part in parts if part)


def render_table(rows: Sequence[Mapping[str, object]]) -> str:
    """Lays out mappings as rows; the columns are all keys in order."""
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [[_write(column) for column in columns]]
    cells += [[_write(row.get(c, "")) for c in columns] for row in rows]
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


def _write(value: object) -> str:
    if value is None or value == "" or value == []:
        return NOTHING
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, list):
        return ", ".join(_write(item) for item in value)
    # Control characters from a daemon must not reach the terminal.
    return "".join(c if c.isprintable() else "?" for c in str(value))
