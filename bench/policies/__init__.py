"""Baseline policies that the comparison measures beside `CapacityNode`."""

from policies.fifo import FifoNode
from policies.local_fair import LocalFairNode

__all__ = ["FifoNode", "LocalFairNode"]
