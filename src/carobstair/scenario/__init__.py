"""Discrete-event simulation of a router fleet under scripted load and faults."""
