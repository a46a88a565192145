"""Messages of the peer protocol whose fields hold random values."""

import random

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

MAX_DEPTH = 4
MAX_ENTRIES = 3
# How many of the fields are left out.
EMPTY_SHARE = 0.35
_RANGES = {
    FieldDescriptor.CPPTYPE_INT32: (-(2**31), 2**31 - 1),
    FieldDescriptor.CPPTYPE_INT64: (-(2**63), 2**63 - 1),
    FieldDescriptor.CPPTYPE_UINT32: (0, 2**32 - 1),
    FieldDescriptor.CPPTYPE_UINT64: (0, 2**64 - 1),
}
_AMOUNTS = (0.0, -1.0, 0.5, 3.0, 1e-300, 1e308, -1e308)
_TEXTS = ("", "i-1", "engine", "op/", "servers/", "zone-a", "\0", "é" * 200)


def fill_message(message: Message, rng: random.Random, depth: int = 0) -> None:
    """Sets fields of a message to random values, many at the edge of a range.

    Args:
        message: to fill.
        rng: chooses the values.
        depth: of the message in the one that is sent.
    """
    for field in message.DESCRIPTOR.fields:
        if rng.random() < EMPTY_SHARE:
            continue
        entries = rng.randrange(MAX_ENTRIES + 1) if field.is_repeated else 1
        if field.cpp_type == FieldDescriptor.CPPTYPE_MESSAGE:
            for _ in range(entries if depth < MAX_DEPTH else 0):
                value = getattr(message, field.name)
                part = value.add() if field.is_repeated else value
                fill_message(part, rng, depth + 1)
        elif field.is_repeated:
            values = [_choose_value(field, rng) for _ in range(entries)]
            getattr(message, field.name).extend(values)
        else:
            setattr(message, field.name, _choose_value(field, rng))


def _choose_value(
    field: FieldDescriptor, rng: random.Random
) -> str | bytes | float | bool:
    if field.type == FieldDescriptor.TYPE_BYTES:
        return rng.randbytes(rng.randrange(40))
    if field.cpp_type == FieldDescriptor.CPPTYPE_STRING:
        return rng.choice(_TEXTS)
    if field.cpp_type in (
        FieldDescriptor.CPPTYPE_DOUBLE,
        FieldDescriptor.CPPTYPE_FLOAT,
    ):
        return rng.choice(_AMOUNTS)
    if field.cpp_type == FieldDescriptor.CPPTYPE_BOOL:
        return rng.random() < 0.5
    if field.cpp_type == FieldDescriptor.CPPTYPE_ENUM:
        return rng.randrange(8)
    lowest, highest = _RANGES[field.cpp_type]
    return rng.choice((lowest, 0, 1, 2, 255, highest // 2, highest))
