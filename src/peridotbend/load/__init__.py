"""Decisions on load that exceeds, or is uneven to, the capacity of targets."""
