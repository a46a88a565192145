"""Scheduling decisions and request state, free of any network library."""
