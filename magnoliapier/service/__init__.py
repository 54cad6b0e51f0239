"""The parts of a running node: shard controllers, fleet controller and entry."""
