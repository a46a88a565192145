"""Tests of request IDs."""

import unittest

from peridotbend.domain.requestids import (
    MAX_INCARNATION,
    IdMinter,
    make_incarnation,
    parse_request_id,
)


class IncarnationTest(unittest.TestCase):
    """Numbers that identify the processes with one name."""

    def test_later_process_has_a_greater_number(self) -> None:
        """Guards against a resumed process taken for its successor."""
        starts_ms = (0, 1, 1_796_000_000_000, 1_796_000_000_001, 2**43 - 1)
        numbers = [make_incarnation(start_ms) for start_ms in starts_ms]
        assert numbers == sorted(set(numbers))
        assert all(0 < number <= MAX_INCARNATION for number in numbers)

    def test_processes_that_start_together_differ(self) -> None:
        """Guards against two processes that count as one."""
        assert len({make_incarnation(5) for _ in range(20)}) > 10


class RequestIdTest(unittest.TestCase):
    """IDs that identify the process that minted them."""

    def test_parsed_id_names_minter_and_incarnation(self) -> None:
        """Guards against forwarding a call to the wrong process."""
        minted = IdMinter("entry-a", 77).mint(5_000)
        parsed = parse_request_id(minted.token)
        assert parsed == minted

    def test_altered_id_fails_verification(self) -> None:
        """Guards against accepting an ID whose expiry or minter was altered."""
        minter = IdMinter("entry-a", 77)
        token = minter.mint(5_000).token
        for position in range(0, len(token), 5):
            swapped = "A" if token[position] != "A" else "B"
            altered = token[:position] + swapped + token[position + 1 :]
            parsed = parse_request_id(altered)
            assert parsed is None or not minter.verify(parsed), altered

    def test_restarted_minter_does_not_own_earlier_ids(self) -> None:
        """Guards against a restarted process that claims earlier IDs.

        It has lost their records and cannot know whether the requests ran.
        """
        minted = IdMinter("entry-a", 77).mint(5_000)
        restarted = IdMinter("entry-a", 78)
        assert not restarted.is_own(minted)
        assert not restarted.verify(minted)

    def test_other_text_is_no_id(self) -> None:
        """Guards against an exception on a key that the caller made up."""
        for token in ("", "order-17", "a.b", "é.x", "." * 200, "AA==.AA=="):
            assert parse_request_id(token) is None, token

    def test_an_id_has_one_spelling(self) -> None:
        """Guards against two records for two encodings of one ID."""
        token = IdMinter("entry-a", 77).mint(5_000).token
        rand, rest = token.split(".")
        # The last character of the random part carries four unused bits.
        alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
        spellings = [f"{rand[:-1]}{last}.{rest}" for last in alphabet]
        same = [
            parsed
            for parsed in map(parse_request_id, spellings)
            if parsed and IdMinter("entry-a", 77).is_own(parsed)
        ]
        assert len({p.token.split(".")[0] for p in same}) == len(same) <= 4
