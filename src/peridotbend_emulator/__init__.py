"""Stand-ins for the platform, engines and applications, and experiments."""
