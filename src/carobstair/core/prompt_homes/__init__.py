"""Homes of shared prompt parts: the engines at which all routers have a part read.

`PromptHomes` tells placement which engines are the homes of a request's shared part,
as `HomeTerms` of their costs, and counts where such requests are sent. `EngineRanking`
ranks the engines of a service for a part by weighted rendezvous hashing, `WeightSteps`
turns estimates of what engines take into the few weights that routers agree on, and
`LoadBalance` bounds the load of an engine, and `PartDemand` counts the engines that a
part in demand needs.
"""

from carobstair.core.prompt_homes.demand import PartDemand
from carobstair.core.prompt_homes.homes import HomeCounts, PromptHomes
from carobstair.core.prompt_homes.load_balance import LoadBalance
from carobstair.core.prompt_homes.ranking import EngineRanking
from carobstair.core.prompt_homes.settings import HomeSettings
from carobstair.core.prompt_homes.terms import NO_TERMS, HomeTerms
from carobstair.core.prompt_homes.weight_steps import WeightSteps

__all__ = [
    "NO_TERMS",
    "EngineRanking",
    "HomeCounts",
    "HomeSettings",
    "HomeTerms",
    "LoadBalance",
    "PartDemand",
    "PromptHomes",
    "WeightSteps",
]
