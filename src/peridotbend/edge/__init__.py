"""Edge instances, whose callers choose the IDs of their attempts."""
