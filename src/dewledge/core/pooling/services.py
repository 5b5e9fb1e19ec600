"""What statements need of the process around them."""

from collections.abc import Callable

from dewledge.core.pooling.events import PoolingEvent
from dewledge.core.pooling.group import Group
from dewledge.core.pooling.routes import EMPTY_ROUTE_TABLE, RouteTable
from dewledge.core.pooling.scheduling import Scheduler


class PoolServices:
    """The parts that all sessions of a process share."""

    def __init__(self, scheduler: Scheduler, record: Callable[[PoolingEvent], None]) -> None:
        self.scheduler = scheduler
        self.record = record
        self.routes: RouteTable = EMPTY_ROUTE_TABLE
        self.groups: dict[str, Group] = {}
        self.suspect: Callable[[str, str], None] = lambda group, database: None
        """Called with a group and a database that left a statement without an answer."""
