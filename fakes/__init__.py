"""Stand-ins for platform, engines and services; for tests only."""
