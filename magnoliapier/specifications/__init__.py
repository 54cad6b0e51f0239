"""Specifications of the protocols, and the checker that explores their states."""
