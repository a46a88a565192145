"""Tests of the protocol model."""

import unittest

from model import identity


class IdentityModelTest(unittest.TestCase):
    """The model is safe and its mutants are not."""

    def test_protocol_is_safe(self) -> None:
        """Guards against a rule set that allows a second dispatch."""
        assert identity.check_model()

    def test_every_mutant_is_unsafe(self) -> None:
        """Guards against a model that cannot see a missing rule."""
        for mutant in identity.Mutant:
            assert not identity.check_model(mutant), mutant
