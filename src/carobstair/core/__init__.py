"""Decisions of the router fleet as pure state machines.

Nothing here opens a socket, reads a clock or logs: time comes as an explicit
number of seconds, randomness as a seeded generator.
"""
