"""Keeps the views of the groups in use fresh, and searches for a primary while requests wait."""

from collections.abc import Callable

from dewledge.core.proxy.entry.group import EntryGroup
from dewledge.core.proxy.entry.state import EntryState
from dewledge.core.proxy.messages import GroupStatusAnswer, GroupStatusRequest

POLL_JITTER = 0.25
"""Ratio; share by which the interval is varied, so that entries do not poll in step."""


class StatusWatch:
    """Asks gateways for group statuses: rarely in peace, often while a primary is missing.

    on_status: called with (group, now) after a status answer was taken in.
    """

    def __init__(self, state: EntryState, on_status: Callable[[EntryGroup, float], None]) -> None:
        self._state = state
        self._on_status = on_status
        self._next_poll_at = float("-inf")

    def note_use(self, group: EntryGroup, now: float) -> None:
        """Notes that a request uses the group."""
        group.last_used = now
        if not group.timer_id:
            self._arm(group, now)

    def note_sent_to_primary(self, group: EntryGroup) -> None:
        """Makes sure that the group is probed if the primary does not answer in time."""
        suspect_at = group.suspect_at()
        if suspect_at is not None:
            self._arm_by(group, suspect_at)

    def search_primary(self, group: EntryGroup, now: float) -> None:
        """Asks every gateway of the group at once, and again until the wait ends."""
        if now < group.wait.next_probe_at:
            return
        self._ask_all(group, now)
        group.wait.next_probe_at = now + self._probe_pause()
        self._arm_by(group, group.wait.next_probe_at)

    def suspect(self, group: EntryGroup, now: float) -> None:
        """Asks every gateway because an answer casts doubt on the view of the group."""
        least = self._state.settings.probe_interval_least * self._state.probe_stretch
        if now - group.last_probed >= least:
            self._ask_all(group, now)

    def refresh(self, group: EntryGroup, now: float) -> None:
        """Asks one gateway, within the bound on refreshes."""
        if self._may_poll(now):
            self._ask_one(group, now)

    def handle_status(self, group: EntryGroup, message: GroupStatusAnswer, now: float) -> None:
        """Takes a gateway's statuses in."""
        for status, age in zip(message.statuses, message.ages, strict=False):
            group.learn_status(status, now - max(0.0, age), now)
        group.last_refreshed = now
        self._on_status(group, now)

    def wake(self, group: EntryGroup, now: float) -> None:
        """Asks what is due for a group whose timer fired."""
        if len(group.wait):
            self.search_primary(group, now)
        elif self._is_suspect(group, now):
            self._ask_all(group, now)
        elif self._is_stale(group, now) and self._may_poll(now):
            self._ask_one(group, now)
        self._arm(group, now)

    def _arm(self, group: EntryGroup, now: float) -> None:
        settings = self._state.settings
        if group.timer_id:
            return
        if len(group.wait):
            self._set_timer(group, max(now, group.wait.next_probe_at))
            return
        if now - group.last_used > settings.group_idle_after and not group.watch.owes_answers:
            return
        jitter = 1.0 + POLL_JITTER * (2.0 * self._state.random.random() - 1.0)
        due = max(now, group.last_refreshed) + settings.poll_interval * jitter
        suspect_at = self._suspect_at(group)
        if suspect_at is not None:
            due = min(due, max(now, suspect_at))
        self._set_timer(group, due)

    def _arm_by(self, group: EntryGroup, when: float) -> None:
        if group.timer_id and group.timer_due <= when:
            return
        self._set_timer(group, when)

    def _set_timer(self, group: EntryGroup, when: float) -> None:
        group.timer_due = when
        self._state.timers.set(group, when)

    def _suspect_at(self, group: EntryGroup) -> float | None:
        suspect_at = group.suspect_at()
        if suspect_at is None:
            return None
        pause = self._state.settings.probe_interval_most * self._state.probe_stretch
        return max(suspect_at, group.last_probed + pause)

    def _is_suspect(self, group: EntryGroup, now: float) -> bool:
        suspect_at = self._suspect_at(group)
        return suspect_at is not None and suspect_at <= now

    def _is_stale(self, group: EntryGroup, now: float) -> bool:
        least_age = self._state.settings.poll_interval * (1.0 - POLL_JITTER)
        return now - group.last_refreshed >= least_age

    def _may_poll(self, now: float) -> bool:
        """Bounds the refreshes of all groups together, for the control traffic's sake."""
        if now < self._next_poll_at:
            return False
        self._next_poll_at = now + 1.0 / self._state.settings.poll_rate
        return True

    def _probe_pause(self) -> float:
        settings = self._state.settings
        spread = settings.probe_interval_most - settings.probe_interval_least
        pause = settings.probe_interval_least + spread * self._state.random.random()
        return pause * self._state.probe_stretch

    def near_gateway(self, group: EntryGroup) -> str | None:
        """Returns a gateway of the group in the entry's own zone, else one in its turn."""
        for database in group.description.databases.values():
            if database.zone == self._state.zone:
                gateway = self._state.placement.active(database.name)
                if gateway is not None:
                    return gateway
        return self.next_gateway(group)

    def next_gateway(self, group: EntryGroup) -> str | None:
        """Returns one of the group's gateways, each in its turn; None if it has none."""
        gateways = self._gateways(group)
        if not gateways:
            return None
        group.next_gateway += 1
        return gateways[group.next_gateway % len(gateways)]

    def _gateways(self, group: EntryGroup) -> list[str]:
        """The group's gateways without doubles, in the order of its databases."""
        found: dict[str, None] = {}
        for database in group.description.databases:
            gateway = self._state.placement.active(database)
            if gateway is not None:
                found[gateway] = None
        return list(found)

    def _ask_all(self, group: EntryGroup, now: float) -> None:
        group.last_probed = now
        for gateway in self._gateways(group):
            self._ask(gateway, group, fresh=True)

    def _ask_one(self, group: EntryGroup, now: float) -> None:
        gateway = self.next_gateway(group)
        if gateway is not None:
            group.last_refreshed = now
            self._ask(gateway, group, fresh=False)

    def _ask(self, gateway: str, group: EntryGroup, fresh: bool) -> None:
        correlation = self._state.next_correlation()
        request = GroupStatusRequest(correlation, group.description.group, fresh)
        self._state.send(gateway, request)
