"""
Fixed seeds of Hypothesis state machines.

Without a seed, Hypothesis derives the examples from the source text of the machine. A
renamed variable would then change what is tested.
"""

OWNERSHIP_SEED = int(
    "124573629110649000045837613105555917201499734732515591105564571720064282802870"
    "23624543903544348858882218801102326826"
)
