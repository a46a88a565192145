"""Tests of the protocol models."""

import unittest

from model import edge, identity


class IdentityModelTest(unittest.TestCase):
    """The model is safe and its mutants are not."""

    def test_protocol_is_safe(self) -> None:
        """Guards against a rule set that allows a second dispatch."""
        assert identity.check_model()

    def test_every_mutant_is_unsafe(self) -> None:
        """Guards against a model that cannot see a missing rule."""
        for mutant in identity.Mutant:
            assert not identity.check_model(mutant), mutant


class EdgeModelTest(unittest.TestCase):
    """The rules of the edge, as small transition systems."""

    def test_models_are_safe_and_their_mutants_are_not(self) -> None:
        """Guards against a rule whose need or whose proof was lost."""
        for make in edge.MODELS:
            model = make(None)
            assert edge.check_model(model), model.name
            for mutant in model.mutants:
                assert not edge.check_model(make(mutant)), mutant
