"""Small fakes of the platform, an engine and a ledger, for tests and the demo."""
