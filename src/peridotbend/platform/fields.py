"""Typed reading of fields from decoded documents."""

import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

T = TypeVar("T")


class BadFieldError(Exception):
    """A field is missing or has the wrong type; names the field."""


class Fields:
    """The fields of one table; fields that nobody asks for are ignored."""

    def __init__(self, value: object, path: str = ""):
        if not isinstance(value, Mapping):
            raise BadFieldError(f"{path or 'document'}: not a table")
        self._table: Mapping[Any, Any] = value
        self._path = path

    def get_text(self, name: str, default: str | None = None) -> str:
        """Returns a text that is not empty."""
        value = self._find(name, default)
        if not isinstance(value, str) or not (value or default == ""):
            raise self._fail(name, "a text", value)
        return value

    def get_whole(
        self, name: str, default: int | None = None, least: int = 0
    ) -> int:
        """Returns a whole number."""
        number = self.get_number(name, default, least)
        if number != int(number):
            raise self._fail(name, "a whole number", number)
        return int(number)

    def get_number(
        self, name: str, default: float | None = None, least: float = 0.0
    ) -> float:
        """Returns a number."""
        value = self._find(name, default)
        is_number = isinstance(value, int | float)
        if not is_number or isinstance(value, bool) or not value >= least:
            raise self._fail(name, f"a number of at least {least}", value)
        if math.isinf(value):
            raise self._fail(name, "a finite number", value)
        return float(value)

    def get_flag(self, name: str, default: bool | None = None) -> bool:
        """Returns true or false."""
        value = self._find(name, default)
        if not isinstance(value, bool):
            raise self._fail(name, "true or false", value)
        return value

    def get_address(self, name: str) -> tuple[str, int]:
        """Returns host and port of an address."""
        return read_address(self.get_text(name), self._join(name))

    def get_table(self, name: str) -> "Fields":
        """Returns the fields of a table inside this one."""
        return Fields(self._find(name, None), self._join(name))

    def get_list(
        self, name: str, read: Callable[[object, str], T], optional: bool = True
    ) -> list[T]:
        """Returns a list whose entries `read` decodes."""
        value = self._find(name, [] if optional else None)
        if value is None and optional:
            return []
        if not isinstance(value, list):
            raise self._fail(name, "a list", value)
        return [
            read(entry, f"{self._join(name)}[{index}]")
            for index, entry in enumerate(value)
        ]

    def __contains__(self, name: str) -> bool:
        return self._table.get(name) is not None

    def _find(self, name: str, default: object) -> Any:
        value = self._table.get(name)
        if value is None:
            value = default
        if value is None:
            raise BadFieldError(f"{self._join(name)}: missing")
        return value

    def _join(self, name: str) -> str:
        return f"{self._path}.{name}" if self._path else name

    def _fail(self, name: str, wanted: str, value: object) -> BadFieldError:
        return BadFieldError(
            f"{self._join(name)}: must be {wanted}, not {str(value)[:80]!r}"
        )


def read_text(value: object, path: str) -> str:
    """Decodes an entry of a list of texts."""
    if not isinstance(value, str) or not value:
        raise BadFieldError(f"{path}: must be a text")
    return value


def read_address(value: str, path: str) -> tuple[str, int]:
    """Splits IP:PORT."""
    host, colon, port = value.rpartition(":")
    if not (host and colon and port.isdecimal() and 0 < int(port) < 65_536):
        raise BadFieldError(f"{path}: must be IP:PORT, not {value[:80]!r}")
    return host, int(port)
