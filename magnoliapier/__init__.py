"""Fleet capacity and maintenance manager driven by committed manifests."""

__version__ = "0.1.0"
