"""Stand-ins around the product's processes: the platform, runners and consumers."""
