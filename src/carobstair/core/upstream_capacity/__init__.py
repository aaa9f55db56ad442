"""What each upstream of a service can take, learnt from waits and reports.

`UpstreamCapacity` knows, for each incarnation of one service, how fast it reads
prompts, how far neighbours slow it down and up to which concurrency first tokens keep
their objective. `WaitModel` is the wait to expect at the mean upstream, and
`choose_engine` and `choose_plain` place requests by these estimates.
"""

from carobstair.core.upstream_capacity.capacity import Incarnation, UpstreamCapacity
from carobstair.core.upstream_capacity.placement import choose_engine, choose_plain
from carobstair.core.upstream_capacity.record import UpstreamRecord
from carobstair.core.upstream_capacity.services import ServiceCapacities, WaitRow
from carobstair.core.upstream_capacity.settings import CapacitySettings
from carobstair.core.upstream_capacity.wait_model import WaitModel

__all__ = [
    "CapacitySettings",
    "Incarnation",
    "ServiceCapacities",
    "UpstreamCapacity",
    "UpstreamRecord",
    "WaitModel",
    "WaitRow",
    "choose_engine",
    "choose_plain",
]
