"""Open-loop load: seeded plans, a client, and corrected histograms."""
