"""Tests of the protocol models."""

import unittest

from model import edge, identity


class IdentityModelTest(unittest.TestCase):
    """The model of request identity and its mutants."""

    def test_protocol_is_safe(self) -> None:
        """Guards against rules that allow a second dispatch."""
        assert identity.check_model()

    def test_every_mutant_is_unsafe(self) -> None:
        """Guards against a model that stays safe without one of its rules."""
        for mutant in identity.Mutant:
            assert not identity.check_model(mutant), mutant


class EdgeModelTest(unittest.TestCase):
    """The models of the edge and their mutants."""

    def test_models_are_safe_and_their_mutants_are_not(self) -> None:
        """Guards against an unsafe model and against rules without effect."""
        for make_model in edge.MODEL_FACTORIES:
            model = make_model(None)
            assert edge.check_model(model), model.name
            for mutant in model.mutants:
                assert not edge.check_model(make_model(mutant)), mutant
