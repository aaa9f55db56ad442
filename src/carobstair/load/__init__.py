"""Open-loop load generator: seeded plans, HTTP client, latency histograms.

Latencies count from the intended send time, which avoids coordinated omission.
"""
