"""The running parts: shard controllers, the fleet controller and the entry."""
