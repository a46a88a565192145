"""Validates documents with pydantic and translates its errors."""

import difflib
from collections.abc import Iterable
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails
from result import Err, Ok, Result

from peridotbend.adapters.textschema import CUSTOM_ERROR
from peridotbend.adapters.yamlnodes import (
    MAX_PROBLEMS,
    Node,
    TextProblem,
    join_path,
    summarize_omitted,
)

# Comparing words takes microseconds for each, and a configuration text may have
# thousands of services.
MAX_SUGGESTION_WORDS = 500

ShapeT = TypeVar("ShapeT", bound=BaseModel)

_NAME_REMEDY = (
    "write 1 to 63 letters, digits, dots, dashes or underscores that start "
    "with a letter or digit"
)
# Problem and remedy for each pydantic error type that a shape can raise.
_WORDING_BY_ERROR_TYPE = {
    "missing": ("is missing", "add the key"),
    "string_type": ("is not text", "write text; put numbers in quotes"),
    "int_type": ("is not a whole number", "write digits without quotes"),
    "bool_type": ("is not a boolean", "write true or false"),
    "model_type": ("is not a mapping", "write `key: value` lines below it"),
    "dict_type": ("is not a mapping", "write `key: value` lines below it"),
    "list_type": ("is not a list", "write `- item` lines below it"),
    "string_pattern_mismatch": ("is not a valid name", _NAME_REMEDY),
    "greater_than": ("is too small", "write a whole number above zero"),
    "greater_than_equal": ("is negative", "write 0 or more"),
    "less_than_equal": ("is too large", "write a smaller number"),
    "too_long": ("has too many entries", "remove some of them"),
    "too_short": ("is empty", "add at least one entry"),
}


def suggest(word: str, known: Iterable[str]) -> str:
    """Suggests the known word closest to `word`, or lists the known words."""
    words = sorted(known)
    if len(words) > MAX_SUGGESTION_WORDS:
        return f"use one of the {len(words)} names that the text defines"
    matches = difflib.get_close_matches(word[:80], words, n=1, cutoff=0.6)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return f"use one of: {', '.join(words[:20])}" if words else "remove it"


def check_shape(
    shape: type[ShapeT], root: Node
) -> Result[ShapeT, list[TextProblem]]:
    """Validates a document against a pydantic model."""
    try:
        return Ok(shape.model_validate(root.data))
    except ValidationError as error:
        details = error.errors(include_url=False)
    details.sort(key=lambda detail: _locate(root, detail)[1:])
    problems = [_describe(shape, root, d) for d in details[:MAX_PROBLEMS]]
    return Err(problems + summarize_omitted(len(details) - MAX_PROBLEMS))


def _locate(
    root: Node, detail: ErrorDetails
) -> tuple[tuple[str | int, ...], int, int]:
    """Returns path, line and column of an error."""
    # Pydantic appends `[key]` if the error is in the key of a mapping entry.
    path = tuple(key for key in detail["loc"] if key != "[key]")
    node = root.locate(path)
    return path, node.line, node.column


def _describe(
    shape: type[BaseModel], root: Node, detail: ErrorDetails
) -> TextProblem:
    path, line, column = _locate(root, detail)
    problem, remedy = _find_wording(shape, path, detail)
    return TextProblem(line, column, join_path(path), problem, remedy)


def _find_wording(
    shape: type[BaseModel], path: tuple[str | int, ...], detail: ErrorDetails
) -> tuple[str, str]:
    error_type = detail["type"]
    context = detail.get("ctx", {})
    if error_type == CUSTOM_ERROR:
        return context["problem"], context["remedy"]
    if error_type == "extra_forbidden":
        known = _find_fields(shape, path[:-1])
        return "is an unknown key", suggest(str(path[-1]), known)
    if not path:
        return "is not a mapping of keys", "start with `key: value` lines"
    if detail["input"] is None and error_type != "missing":
        return "has no value", "write a value or remove the key"
    if path[-1:] == ("bearer_sha256",):
        return (
            "is not a SHA-256 in hexadecimal",
            "write the 64 digits that `printf %s KEY | sha256sum` prints",
        )
    if error_type == "literal_error":
        return (
            f"has the unknown value {str(detail['input'])[:40]!r}",
            f"use {context['expected']}",
        )
    if error_type in _WORDING_BY_ERROR_TYPE:
        return _WORDING_BY_ERROR_TYPE[error_type]
    return f"is refused: {detail['msg']}", "correct the value"


def _find_fields(
    shape: type[BaseModel], path: tuple[str | int, ...]
) -> list[str]:
    """Returns the keys of the shape at a path."""
    current = shape
    for key in path:
        field = current.model_fields.get(str(key))
        if field is None:
            # A key of a mapping or an index of a list; both have no field.
            continue
        current = _find_model(field.annotation) or current
    return list(current.model_fields)


def _find_model(annotation: object) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    arguments = getattr(annotation, "__args__", ())
    return next((m for a in arguments if (m := _find_model(a))), None)
