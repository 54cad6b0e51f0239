"""Specifications of the protocols, and the checker that explores them in full."""
