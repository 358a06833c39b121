"""Who of a fleet's processes is present: checks, suspicion, views passed on, and the number that counts.

Design (docs/membership.md): failure detection after SWIM (Das, Gupta, Motivala 2002) with suspicion that the
accused refutes, and the slow observer's awareness of itself after Lifeguard (Dadgar, Phillips, Currey 2017).
What is told is entries of the list service's form and order (`fleet.registry.entries`), passed on by watches.
"""
