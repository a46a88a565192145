"""Parsers of durations and sizes, whose units are mandatory."""

import re

from result import Err, Ok, Result

MS_BY_UNIT = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000}
BYTES_BY_UNIT = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
# Request IDs exist only in memory, so more than 30 days must be a typo.
MAX_DURATION_MS = 30 * 24 * 3_600_000
MAX_SIZE_BYTES = 1 << 40

_QUANTITY = re.compile(r"([0-9]{1,12})\s?([A-Za-z]+)")


def parse_duration_ms(value: object) -> Result[int, tuple[str, str]]:
    """Parses a duration such as `250ms`, `20s`, `10min` or `8h`.

    Returns:
        A positive number of milliseconds, or the problem and its remedy.
    """
    return _parse_quantity(
        value, MS_BY_UNIT, MAX_DURATION_MS, "time", "250ms, 20s, 10min or 8h"
    )


def parse_size_bytes(value: object) -> Result[int, tuple[str, str]]:
    """Parses a size such as `64KiB` or `1MiB`.

    Returns:
        A positive number of bytes, or the problem and its remedy.
    """
    return _parse_quantity(
        value, BYTES_BY_UNIT, MAX_SIZE_BYTES, "size", "512B, 64KiB or 1MiB"
    )


def _parse_quantity(
    value: object,
    factor_by_unit: dict[str, int],
    max_amount: int,
    noun: str,
    examples: str,
) -> Result[int, tuple[str, str]]:
    remedy = f"write a {noun} above zero with its unit, such as {examples}"
    text = str(value).strip()
    if isinstance(value, bool) or not isinstance(value, int | str):
        return Err((f"is not a {noun}", remedy))
    if text.startswith("-"):
        return Err((f"is a negative {noun} ({text[:40]})", remedy))
    if text.isdecimal():
        return Err((f"is a {noun} without a unit ({text[:40]})", remedy))
    match = _QUANTITY.fullmatch(text)
    if match is None:
        return Err((f"is not a {noun} ({text[:40]!r})", remedy))
    if match[2] not in factor_by_unit:
        units = ", ".join(factor_by_unit)
        return Err(
            (
                f"has the unknown unit {match[2][:20]!r}",
                f"use one of the units {units}",
            )
        )
    amount = int(match[1]) * factor_by_unit[match[2]]
    if amount == 0:
        return Err((f"is a {noun} of zero", remedy))
    if amount > max_amount:
        return Err(
            (
                f"is too large a {noun} ({text[:40]})",
                f"write a smaller {noun}",
            )
        )
    return Ok(amount)
