"""Baselines that the comparison measures beside the design."""

from policies.fifo import FifoNode
from policies.local_fair import LocalFairNode

__all__ = ["FifoNode", "LocalFairNode"]
