"""Tests of peridotbend."""
