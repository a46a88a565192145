"""Translates between the project's types and the users' platform."""
