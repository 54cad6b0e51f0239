"""Stand-ins for the platform, its runners and consumers, and the checks."""
