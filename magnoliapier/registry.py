"""Registries of named classes and functions, which decorators fill."""

from magnoliapier.exceptions import UnknownNameError


class Registry:
    """
    Maps names to registered classes or functions.

    Example::

        policies = Registry("policy")

        @policies.register("fifo")
        class Fifo: ...

        policies.get("fifo")
    """

    def __init__(self, kind):
        self._kind = kind
        self._entries = {}

    def register(self, name):
        """Return a decorator that stores its target under ``name``."""

        def decorate(target):
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is already registered.")
            self._entries[name] = target
            return target

        return decorate

    def get(self, name):
        """Return the entry called ``name``; raise UnknownNameError if none is."""
        try:
            return self._entries[name]
        except KeyError:
            raise UnknownNameError(self._kind, name, self.names()) from None

    def names(self):
        """Return the registered names in sorted order."""
        return sorted(self._entries)

    def __contains__(self, name):
        return name in self._entries
