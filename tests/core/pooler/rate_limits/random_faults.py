"""Random faults from a seed, while callers request far more than their limits."""

import random

from dewledge.core.pooler.rate_limits.limits import RateLimit
from tests.core.pooler.rate_limits.model_processes import ModelNetwork

LARGE_CALLER, SMALL_CALLER = "large", "small"
LIMITS = {LARGE_CALLER: RateLimit(200, 200), SMALL_CALLER: RateLimit(2.8, 2.8)}
NORMAL_RATES = {LARGE_CALLER: 125.0, SMALL_CALLER: 1.75}
HIGH_RATES = {LARGE_CALLER: 940.0, SMALL_CALLER: 15.0}
SEED_COUNT = 20


def run_random_faults(seed: int, min_processes: int = 3) -> ModelNetwork:
    """Runs a network of `min_processes` to 24 processes with the random faults of a seed."""
    rng = random.Random(seed)
    network = ModelNetwork(rng.randint(min_processes, 24), LIMITS, seed)
    network.clients_retry = seed % 2 == 1
    network.urgency_count = 1 + seed // 2 % 3
    network.run(2.0, NORMAL_RATES)
    for _ in range(8):
        _inject_fault(network, rng)
        network.run(rng.uniform(0.2, 2.0), HIGH_RATES, timeout=rng.choice((0.35, 1.5)))
    return network


def _inject_fault(network: ModelNetwork, rng: random.Random) -> None:
    affected = [name for name in network.names if rng.random() < 0.4]
    fault = rng.choice(("cut", "heal", "freeze", "restart", "power", "loss", "delay"))
    now = network.scheduler.now()
    for name in affected:
        if fault == "cut":
            network.partition[name] = rng.randint(0, 2)
        elif fault == "freeze":
            network.processes[name].scheduler.frozen_until = now + rng.uniform(0.3, 3.0)
        elif fault == "restart":
            network.restart(name)
    if fault == "power":
        for name in list(network.names):
            network.restart(name)
    if fault == "heal":
        network.partition = dict.fromkeys(network.names, 0)
    network.loss = 0.3 if fault == "loss" else 0.0
    network.max_delay = 0.6 if fault == "delay" else 0.02
