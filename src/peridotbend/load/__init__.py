"""Decisions under load, without input or output."""
