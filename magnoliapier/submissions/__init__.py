"""Submissions: their model, their progress and their stored form."""
