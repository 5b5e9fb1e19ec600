"""A seeded discrete-event simulator that drives the decision core, and checkers of its promises.

The simulated proxies run the same `Entry` and `Gateway` objects as the daemon. Time, network,
databases and platform are virtual, so that one seed always gives one history.
"""
