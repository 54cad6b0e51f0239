"""Benchmarks; each writes its figures to a JSON file under build/."""
