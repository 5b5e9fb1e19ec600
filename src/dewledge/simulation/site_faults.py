"""Faults of a whole site: cut off from the others, with its own callers, or lost."""

from collections.abc import Callable, Iterator

from dewledge.simulation.world import CLIENT_PREFIX, World


class SiteFaults:
    """Strikes the site at which the primary of the first group stands."""

    def __init__(self, world: World) -> None:
        self._world = world

    def cut_off(self) -> Callable[[], None]:
        """Cuts a site from the others; what stands there still reaches each other.

        The databases there lose their groups, the callers there the proxies elsewhere. Returns
        what ends it.
        """
        site = self._primary_site()
        links = list(self._links_out_of(site))
        for inside, outside in links:
            self._world.network.cut(inside, outside)
        databases = self._databases_at(site)
        for name in databases:
            self._world.servers[name].model.cut_off(name, False, self._world.queue.now)

        def heal() -> None:
            for inside, outside in links:
                self._world.network.heal(inside, outside)
            for name in databases:
                self._world.servers[name].model.heal(name, self._world.queue.now)

        return heal

    def lose(self) -> Callable[[], None]:
        """Ends every process at a site. Returns what starts them again."""
        site = self._primary_site()
        proxies = [item for item in self._world.proxies.values() if item.place.region == site]
        databases = self._databases_at(site)
        for proxy in proxies:
            proxy.kill()
        for name in databases:
            server = self._world.servers[name]
            server.break_connections()
            server.model.kill(name, self._world.queue.now)

        def restart() -> None:
            for name in databases:
                self._world.servers[name].model.restart(name, self._world.queue.now)
            for proxy in proxies:
                proxy.start()

        return restart

    def _primary_site(self) -> str:
        group = next(iter(self._world.groups))
        primary = self._world.primary_of(group)
        places = self._world.deployment.databases(group)
        return places[primary].region if primary in places else self._world.deployment.sites[0]

    def _databases_at(self, site: str) -> list[str]:
        deployment = self._world.deployment
        return [
            name
            for group in deployment.groups
            for name, place in deployment.databases(group).items()
            if place.region == site
        ]

    def _links_out_of(self, site: str) -> Iterator[tuple[str, str]]:
        deployment = self._world.deployment
        proxies = deployment.proxies()
        inside = [name for name, place in proxies.items() if place.region == site]
        outside = [name for name, place in proxies.items() if place.region != site]
        inner_databases = self._databases_at(site)
        outer_databases = [name for name in self._world.servers if name not in inner_databases]
        clients = [CLIENT_PREFIX + other for other in deployment.sites if other != site]
        for proxy in inside:
            for other in [*outside, *outer_databases, *clients]:
                yield proxy, other
        for proxy in outside:
            for other in [*inner_databases, CLIENT_PREFIX + site]:
                yield proxy, other
