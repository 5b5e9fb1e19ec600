"""Serves readiness and metrics of a process over HTTP, each at its own address."""

from collections.abc import Callable

from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.pooler.observing.pooler_metrics import CONTENT_TYPE as METRICS_TYPE
from dewledge.shell.pooler.observing.pooler_metrics import PoolerMetrics
from dewledge.shell.shared.event_loop import EventLoop
from dewledge.shell.shared.http_messages import Exchange, HttpLimits, HttpResponse
from dewledge.shell.shared.http_server import HttpServer

PLAIN_TEXT = "text/plain"
STATUS_OK = 200
STATUS_UNAVAILABLE = 503


class StatusPages:
    """HTTP servers for readiness and metrics. Once the loop runs, methods run on its thread."""

    def __init__(
        self,
        loop: EventLoop,
        settings: PoolerSettings,
        metrics: PoolerMetrics,
        is_ready: Callable[[], bool],
    ) -> None:
        """Binds both addresses. Raises OSError if one cannot be bound."""
        self._metrics = metrics
        self._is_ready = is_ready
        limits = HttpLimits()
        self._ready_server = HttpServer(loop, settings.ready_address, limits, self._answer_ready)
        self._metrics_server = HttpServer(
            loop, settings.metrics_address, limits, self._answer_metrics
        )

    @property
    def ready_address(self) -> str:
        """Address that serves readiness."""
        return self._ready_server.address

    def start(self) -> None:
        """Starts to answer requests."""
        self._ready_server.start()
        self._metrics_server.start()

    def close(self) -> None:
        """Closes both servers."""
        self._ready_server.close()
        self._metrics_server.close()

    def _answer_ready(self, exchange: Exchange) -> None:
        status = STATUS_OK if self._is_ready() else STATUS_UNAVAILABLE
        exchange.respond(HttpResponse(status, b"", PLAIN_TEXT))

    def _answer_metrics(self, exchange: Exchange) -> None:
        exchange.respond(HttpResponse(STATUS_OK, self._metrics.render(), METRICS_TYPE))
