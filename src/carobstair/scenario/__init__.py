"""Scenarios: the decision nodes on virtual time, under scripted load and faults."""
