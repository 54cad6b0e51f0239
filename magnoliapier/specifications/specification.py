"""
The base class of the protocol specifications that ``modelcheck`` explores.

A specification describes a protocol as immutable states and their successors.
Each decision of the protocol is a method, so a seeded mistake is a subclass that
overrides one decision. The checker must find a violation in every such subclass.
"""

from magnoliapier.registry import Registry

specifications = Registry("specification")


class Specification:
    """
    A protocol whose states are bounded, so that they can be explored completely.

    ``scenarios`` maps a name to the bounds of one complete exploration.
    ``initial`` is the initial state, a NamedTuple of hashable values. ``mistakes`` is a
    :class:`Registry` of subclasses, each with one seeded mistake.
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
        """Return predicates that every reachable state must satisfy, by name."""
        raise NotImplementedError

    def witnesses(self):
        """
        Return predicates that some reachable state must satisfy, by name.

        They guard against a specification that is safe only because nothing happens.
        """
        return {}
