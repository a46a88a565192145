"""Tests of the models of the edge."""

import unittest

from model.edge import MODELS, check_model


class EdgeModelTest(unittest.TestCase):
    """The rules of the edge, as small transition systems."""

    def test_models_are_safe_and_their_mutants_are_not(self) -> None:
        """Guards against a rule whose need or whose proof was lost."""
        for make in MODELS:
            model = make(None)
            assert check_model(model), model.name
            for mutant in model.mutants:
                assert not check_model(make(mutant)), mutant
