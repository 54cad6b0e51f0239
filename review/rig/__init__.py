"""Stand-ins for the platform, its runners and consumers, for the cases 11 to 15."""
