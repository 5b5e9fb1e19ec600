"""Fixed addresses for a deployment's stand-ins, so that commands agree without a shared file."""

from dewledge.standin.deployments import Deployment

PORTS_FOR_EACH_GROUP = 10
ADMIN_PORT_OFFSET = 9
DEFAULT_HOST = "127.0.0.1"
DEFAULT_BASE_PORT = 7310
PLATFORM_ADDRESS = "127.0.0.1:7300"
PLATFORM_ADMIN_ADDRESS = "127.0.0.1:7301"


def database_addresses(
    deployment: Deployment, host: str = DEFAULT_HOST, base_port: int = DEFAULT_BASE_PORT
) -> dict[str, str]:
    """Returns each database's "ip:port", by name: a range of ports for each group."""
    return {
        name: f"{host}:{_first_port(deployment, group, base_port) + index}"
        for group in deployment.groups
        for index, name in enumerate(deployment.databases_of(group))
    }


def admin_address(
    deployment: Deployment,
    group: str,
    host: str = DEFAULT_HOST,
    base_port: int = DEFAULT_BASE_PORT,
) -> str:
    """Returns the "ip:port" at which a group's faults are switched."""
    return f"{host}:{_first_port(deployment, group, base_port) + ADMIN_PORT_OFFSET}"


def _first_port(deployment: Deployment, group: str, base_port: int) -> int:
    return base_port + PORTS_FOR_EACH_GROUP * deployment.groups.index(group)
