"""
The common shape of the protocol specifications that ``modelcheck`` explores.

A specification describes a protocol as immutable states and their successors.
Each decision of the protocol is a method, so a seeded mistake is a subclass that
replaces one decision. The checker must find a violation in every such subclass.
"""

from magnoliapier.registry import Registry

specifications = Registry("specification")


class Specification:
    """
    A protocol with bounds.

    ``scenarios`` maps a name to the bounds of one complete exploration.
    ``initial`` is a NamedTuple of hashable values. ``mistakes`` is a
    :class:`Registry` of subclasses.
    """

    name = ""
    scenarios = {}
    initial = None
    mistakes = None

    def __init__(self, scenario):
        self.bounds = self.scenarios[scenario]

    def successors(self, state):
        """Yield ``(label, state)`` for each step that may follow ``state``."""
        raise NotImplementedError

    def invariants(self):
        """Return the predicates that hold in every reachable state, by name."""
        raise NotImplementedError

    def witnesses(self):
        """
        Return predicates that some reachable state must satisfy, by name.

        They guard against a specification that is safe because nothing happens.
        """
        return {}
