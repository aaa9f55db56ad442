"""Test doubles of the platform, an engine, a ledger and a faulty network."""
