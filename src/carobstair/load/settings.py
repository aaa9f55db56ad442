"""Settings of ``carobstair-load``."""

from __future__ import annotations

from pydantic import Field, model_validator

from carobstair.settings import CommaList, ProgramSettings, Section

__all__ = ["LoadSection", "LoadSettings", "WorkspaceLoad"]


class LoadSection(Section):
    """Section ``[load]``: target routers, request rate and duration."""

    routers: CommaList = Field(min_length=1)
    router_weights: CommaList = []
    rate_per_s: float = Field(10.0, gt=0, le=100_000)
    seconds: float = Field(30.0, gt=0, le=7 * 86_400)
    seed: int = 0
    check_answers: bool = True
    max_open: int = Field(5_000, ge=1)
    deadline_s: float = Field(60.0, gt=0, le=3600)
    progress_s: float = Field(5.0, gt=0)

    @model_validator(mode="after")
    def _routers_are_addresses(self) -> LoadSection:
        for router in self.routers:
            if not router.startswith(("http://", "https://")):
                raise ValueError(
                    f"routers = {router}: must be http://HOST:PORT, separated by commas"
                )
        return self

    @model_validator(mode="after")
    def _weights_fit_routers(self) -> LoadSection:
        try:
            weights = self.effective_router_weights()
        except ValueError:
            weights = []
        wrong = len(weights) != len(self.routers) or min(weights) < 0.0
        if wrong or sum(weights) <= 0.0:
            raise ValueError(
                f"router_weights = {', '.join(self.router_weights)}: must be "
                f"{len(self.routers)} numbers from 0, one per router, not all 0"
            )
        return self

    def addresses(self) -> list[str]:
        """Return the base URLs of the routers."""
        return [router.rstrip("/") for router in self.routers]

    def effective_router_weights(self) -> list[float]:
        """Return the relative share of requests of each router, equal by default."""
        if not self.router_weights:
            return [1.0] * len(self.routers)
        return [float(weight) for weight in self.router_weights]


class WorkspaceLoad(Section):
    """Section ``[workspace.NAME]``: the requests of one workspace.

    Answer lengths are log-normally distributed: half are below `median_tokens`,
    and a greater `sigma` makes the tail longer. A fraction `action_fraction` of
    the requests are actions on `service` with an idempotency key; a fraction
    `repeat_fraction` of these is sent a second time with the same key, through
    another router if there is one, as by a client that timed out.
    """

    key: str = Field(min_length=1)
    weight: float = Field(1.0, gt=0)
    model: str = ""
    median_tokens: float = Field(60.0, ge=1)
    sigma: float = Field(0.8, ge=0, le=4)
    max_tokens: int = Field(2_000, ge=1)
    prompt_words: int = Field(20, ge=0, le=100_000)
    service: str = ""
    action_path: str = Field("holds", min_length=1)
    action_fraction: float = Field(0.0, ge=0, le=1)
    repeat_fraction: float = Field(0.0, ge=0, le=1)

    @model_validator(mode="after")
    def _targets_are_named(self) -> WorkspaceLoad:
        if self.action_fraction > 0.0 and not self.service:
            raise ValueError("service = : must be named where action_fraction is not 0")
        if self.action_fraction < 1.0 and not self.model:
            raise ValueError("model = : must be named where action_fraction is not 1")
        if self.median_tokens > self.max_tokens:
            raise ValueError(
                f"median_tokens = {self.median_tokens}: must be at most "
                f"{self.max_tokens}, the value of max_tokens"
            )
        return self


class LoadSettings(ProgramSettings):
    """All settings of ``carobstair-load``."""

    load: LoadSection
    workspace: dict[str, WorkspaceLoad] = Field(min_length=1)
