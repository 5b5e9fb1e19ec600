"""Days of faults at any moment, by seed, while callers ask for far more than their limits."""

import random

from dewledge.core.pooler.rate_limits.limits import RateLimit
from tests.core.pooler.rate_limits.model_processes import ModelNetwork

LARGE, SMALL = "large", "small"
LIMITS = {LARGE: RateLimit(200, 200), SMALL: RateLimit(2.8, 2.8)}
USUAL = {LARGE: 125.0, SMALL: 1.75}
HOT = {LARGE: 940.0, SMALL: 15.0}
SEEDS = 20


def play_day(seed: int, fewest: int = 3) -> ModelNetwork:
    """Plays the day of a seed over `fewest` to 24 processes."""
    chance = random.Random(seed)
    network = ModelNetwork(chance.randint(fewest, 24), LIMITS, seed)
    network.clients_return = seed % 2 == 1
    network.urgencies = 1 + seed // 2 % 3
    network.run(2.0, USUAL)
    for _ in range(8):
        _disturb(network, chance)
        network.run(chance.uniform(0.2, 2.0), HOT, timeout=chance.choice((0.35, 1.5)))
    return network


def _disturb(network: ModelNetwork, chance: random.Random) -> None:
    some = [name for name in network.names if chance.random() < 0.4]
    fault = chance.choice(("cut", "heal", "freeze", "restart", "power", "loss", "delay"))
    now = network.scheduler.now()
    for name in some:
        if fault == "cut":
            network.side[name] = chance.randint(0, 2)
        elif fault == "freeze":
            network.processes[name].scheduler.asleep_until = now + chance.uniform(0.3, 3.0)
        elif fault == "restart":
            network.restart(name)
    if fault == "power":
        for name in list(network.names):
            network.restart(name)
    if fault == "heal":
        network.side = dict.fromkeys(network.names, 0)
    network.loss = 0.3 if fault == "loss" else 0.0
    network.longest_delay = 0.6 if fault == "delay" else 0.02
