"""Decisions of an entry instance whose callers name their own attempts."""
