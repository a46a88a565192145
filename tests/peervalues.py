"""Strategies for peers' messages whose fields hold any value of their type."""

from collections.abc import Callable
from typing import Any, TypeVar

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message
from hypothesis import strategies as st

MAX_DEPTH = 3
MAX_ENTRIES = 3
_RANGES = {
    FieldDescriptor.CPPTYPE_INT32: (-(2**31), 2**31 - 1),
    FieldDescriptor.CPPTYPE_INT64: (-(2**63), 2**63 - 1),
    FieldDescriptor.CPPTYPE_UINT32: (0, 2**32 - 1),
    FieldDescriptor.CPPTYPE_UINT64: (0, 2**64 - 1),
    # Enumerations are open: a later build may send other numbers.
    FieldDescriptor.CPPTYPE_ENUM: (-(2**31), 2**31 - 1),
}
_NUMBERS = st.sampled_from([0, 1, 2, 3, 4, 9])
_AMOUNTS = st.one_of(
    st.sampled_from([0.0, 0.5, 3.0, -1.0, 5e-324, 1e308, -1e308]),
    st.floats(),
)
_TEXTS = st.one_of(
    st.sampled_from(
        [
            "",
            "e1",
            "e2",
            "t1",
            "engine",
            "config/",
            "config/a",
            "other/a",
            "127.0.0.1:9",
            "127.0.0.1",
            "[::1]:9",
            "::1%\0:9",
            "fe80::1%" + "é" * 64,
            "fe80::1%" + "é" * 64 + ":9",
            "a\r\nb: c",
            "a b",
            "content-length",
            "\0",
            "é",
            "☃",
            "x" * 300,
            "busy",
            "forgotten",
            "handed-over",
        ]
    ),
    st.text(max_size=6).filter(lambda text: text.isprintable()),
    st.text(st.characters(exclude_categories=["Cs"]), max_size=6),
)
M = TypeVar("M", bound=Message)


def make_messages(
    message_type: Callable[[], M], **fixed: Any
) -> st.SearchStrategy[M]:
    """Returns a strategy for messages.

    Args:
        message_type: of the messages.
        **fixed: values of some fields, in place of any.
    """

    @st.composite
    def draw_message(draw: st.DrawFn) -> M:
        message = message_type()
        _fill(draw, message, 0, fixed)
        return message

    return draw_message()


def _fill(
    draw: st.DrawFn, message: Message, depth: int, fixed: dict[str, Any]
) -> None:
    for field in message.DESCRIPTOR.fields:
        if field.name in fixed:
            setattr(message, field.name, fixed[field.name])
            continue
        count = draw(st.integers(0, MAX_ENTRIES if field.is_repeated else 1))
        for _ in range(count):
            if field.cpp_type != FieldDescriptor.CPPTYPE_MESSAGE:
                value = draw(_choose_values(field))
                if field.is_repeated:
                    getattr(message, field.name).append(value)
                else:
                    setattr(message, field.name, value)
            elif depth < MAX_DEPTH:
                part = getattr(message, field.name)
                part = part.add() if field.is_repeated else part
                part.SetInParent()
                _fill(draw, part, depth + 1, {})


def _choose_values(field: FieldDescriptor) -> st.SearchStrategy[Any]:
    if field.type == FieldDescriptor.TYPE_BYTES:
        return st.binary(max_size=40)
    if field.cpp_type == FieldDescriptor.CPPTYPE_STRING:
        return _TEXTS
    if field.cpp_type == FieldDescriptor.CPPTYPE_BOOL:
        return st.booleans()
    if field.cpp_type in _RANGES:
        lowest, highest = _RANGES[field.cpp_type]
        ends = st.sampled_from([lowest, highest // 2, highest])
        return _NUMBERS | ends | st.integers(lowest, highest)
    if field.cpp_type == FieldDescriptor.CPPTYPE_FLOAT:
        return st.floats(width=32)
    return _AMOUNTS
