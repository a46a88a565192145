"""Tests of values that no sound peer sends."""

import unittest

from peridotbend.adapters.originlink import decode_notice, encode_notice
from peridotbend.adapters.publishedpeers import unpack_changes
from peridotbend.edge.originpeers import MAX_VERSION_CHARS, OriginNotice
from peridotbend.edge.published import Changes
from peridotbend.wire import edge_pb2
from tests.test_values import MAX_DECODED


class PublishedValueTest(unittest.TestCase):
    """Changes of the store that peers pass on."""

    def test_revision_beyond_those_of_the_store_is_refused(self) -> None:
        """Guards against changes of the store that nobody takes any more."""
        sound = edge_pb2.ChangesReply(revision=3, era=1, whole=True)
        sound.items.add(key="config/a", revision=3, era=1, value=b"x")
        assert isinstance(unpack_changes(sound, "config/"), Changes)
        for field in ("revision", "era"):
            reply = edge_pb2.ChangesReply()
            reply.CopyFrom(sound)
            setattr(reply, field, MAX_DECODED + 1)
            assert unpack_changes(reply, "config/") is None, field
        for field in ("revision", "era", "first_order", "second_order"):
            reply = edge_pb2.ChangesReply()
            reply.CopyFrom(sound)
            setattr(reply.items[0], field, MAX_DECODED + 1)
            assert unpack_changes(reply, "config/") is None, field

    def test_key_of_another_prefix_is_refused(self) -> None:
        """Guards against an entry that is taken for one of another kind."""
        reply = edge_pb2.ChangesReply(revision=3, era=1, whole=True)
        reply.items.add(key="other/a", revision=3, era=1, value=b"x")
        assert unpack_changes(reply, "config/") is None


class NoticeValueTest(unittest.TestCase):
    """Notices on the origins of streams."""

    def test_version_that_no_instance_tells_is_refused(self) -> None:
        """Guards against versions that fill the memory."""
        longest = OriginNotice(told={1: "v" * MAX_VERSION_CHARS})
        assert decode_notice(encode_notice(longest)) == longest
        longer = OriginNotice(told={1: "v" * (MAX_VERSION_CHARS + 1)})
        assert decode_notice(encode_notice(longer)) is None
