"""Settings of ``carobstair-report``."""

from __future__ import annotations

from pydantic import Field, model_validator

from carobstair.report.tallies import Objective
from carobstair.settings import CommaList, ProgramSettings, Section

__all__ = ["ObjectiveSettings", "ReportSection", "ReportSettings"]

# The fast alarm fires at 14.4 times the allowed share of bad events. With a lower
# objective it could not fire even if every event were bad.
MIN_OBJECTIVE = 0.94


class ReportSection(Section):
    """Section ``[report]``: routers, scrape interval and periods."""

    routers: CommaList = Field(min_length=1)
    metrics_key: str = ""
    timeout_s: float = Field(3.0, gt=0, le=60)
    interval_s: float = Field(60.0, ge=0.5, le=100)
    history_days: float = Field(8.0, gt=0, le=100)
    budget_days: float = Field(7.0, gt=0, le=100)
    min_events: int = Field(30, ge=1)

    @model_validator(mode="after")
    def _routers_have_names(self) -> ReportSection:
        for router in self.routers:
            name, equals, address = router.partition("=")
            if not (name and equals and address.startswith(("http://", "https://"))):
                raise ValueError(
                    f"routers = {router}: must be NAME=http://HOST:PORT, "
                    "separated by commas"
                )
        if len(set(self.names())) < len(self.routers):
            raise ValueError(f"routers = {self.routers}: names must differ")
        return self

    @model_validator(mode="after")
    def _history_covers_budget(self) -> ReportSection:
        if self.history_days < self.budget_days:
            raise ValueError(
                f"history_days = {self.history_days}: must be at least "
                f"{self.budget_days}, the value of budget_days"
            )
        return self

    def names(self) -> list[str]:
        """Return the names of all routers."""
        return [router.partition("=")[0] for router in self.routers]

    def addresses(self) -> dict[str, str]:
        """Return the address of each router by its name."""
        pairs = (router.partition("=") for router in self.routers)
        return {name: address.rstrip("/") for name, _, address in pairs}


class ObjectiveSettings(Section):
    """Section ``[objectives]``: share of events that must be good."""

    first_token: float = Field(0.95, ge=MIN_OBJECTIVE, lt=1)
    token_interval: float = Field(0.95, ge=MIN_OBJECTIVE, lt=1)
    whole: float = Field(0.999, ge=MIN_OBJECTIVE, lt=1)
    truth: float = Field(0.9999, ge=MIN_OBJECTIVE, lt=1)

    def target(self, objective: Objective) -> float:
        """Return the required share of good events of an objective."""
        return getattr(self, objective)


class ReportSettings(ProgramSettings):
    """All settings of ``carobstair-report``."""

    report: ReportSection
    objectives: ObjectiveSettings = ObjectiveSettings()
