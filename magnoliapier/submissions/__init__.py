"""Submissions: what was asked for, how far it has come, and its stored form."""
