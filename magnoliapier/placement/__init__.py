"""Placement: which task starts next, and on which endpoint."""
