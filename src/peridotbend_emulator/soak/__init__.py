"""A seeded soak: real edge daemons under faults, checked by callers."""
