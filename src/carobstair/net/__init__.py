"""Drivers that carry the decisions of `carobstair.core` over the network."""
