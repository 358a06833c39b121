"""Fleet membership: failure detection, dissemination of views, and the balancer count used for budgets.

The design (docs/membership.md) combines failure detection after SWIM (Das, Gupta, Motivala 2002), with
suspicions that the accused refutes, and the local health awareness of Lifeguard (Dadgar, Phillips, Currey
2017). Views consist of registry entries (`fleet.registry.entries`) and are disseminated by watches.
"""
