"""Arrivals that are the same for every variant: times and kinds come from the seed alone."""

from random import Random

from dewledge.simulation.population import Population, PopulationSettings
from dewledge.simulation.world import World


class SteadyArrivals(Population):
    """A population whose arrivals do not depend on how earlier requests were answered.

    Which session a request belongs to still does: a busy session takes no second request.
    """

    def __init__(self, world: World, random: Random, settings: PopulationSettings) -> None:
        super().__init__(world, random, settings)
        self._arrivals = Random(random.getrandbits(32))

    def _schedule_arrival(self) -> None:
        pause = self._arrivals.expovariate(self._settings.rate)
        self._world.queue.call_after(pause, self._arrive)

    def _arrive(self) -> None:
        if self._world.queue.now >= self._ends_at:
            return
        workload = self._arrivals.choices(self._workloads, self._shares)[0]
        self.perform(self._idle_session(workload.caller), workload)
        self._schedule_arrival()
