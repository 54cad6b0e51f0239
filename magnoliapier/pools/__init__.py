"""Pools: which host serves which service, and when it is maintained."""
