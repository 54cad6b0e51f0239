"""The adapter to the users' platform: its protocols, names and settings file."""
