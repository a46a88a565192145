"""Adapters that connect the domain to HTTP, gRPC, logs and metrics."""
