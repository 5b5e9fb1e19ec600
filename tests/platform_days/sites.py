"""Deployments that differ from the users' sites, made from their site files at run time."""

import re
from collections.abc import Callable

Change = Callable[[str], str]


def _set(name: str, value: str) -> Change:
    def change(text: str) -> str:
        changed, count = re.subn(rf"\b{name} = [0-9.]+", f"{name} = {value}", text)
        if not count:
            raise ValueError(f"no {name} in the site file")
        return changed

    return change


def _both(*changes: Change) -> Change:
    def change(text: str) -> str:
        for each in changes:
            text = each(text)
        return text

    return change


SITES: dict[str, Change] = {
    "synchronous": _set("sync", "1"),
    "few-connections": _set("conn_cap", "14"),
    "slow-promotion": _set("promote_ms", "2500.0"),
    "far-behind": lambda text: text.replace(
        "lag_ms = { mean = 8.0, spread = 0.6, tail = 0.0, tail_x = 1.0, max = 48.0 }",
        "lag_ms = { mean = 120.0, spread = 0.6, tail = 0.0, tail_x = 1.0, max = 700.0 }",
    ),
    "many-machines": lambda text: re.sub(
        r'(class = "front".*?)count = \d+',
        r"\1count = 8",
        text,
    ),
    "far-regions": _set("cross_region_ms", "60.0"),
    "nine-connections": _set("conn_cap", "9"),
    "fenced": lambda text: text.replace("fenced = false", "fenced = true"),
    "unfenced": lambda text: text.replace("fenced = true", "fenced = false"),
    "small-store": _both(_set("writes_per_s", "20.0"), _set("reads_per_s", "60.0")),
}
"""Names and the change that each makes to a site file's text."""
