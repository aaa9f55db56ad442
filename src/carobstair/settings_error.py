"""The settings error, in its own module so that its import doesn't load the models."""

__all__ = ["SettingsError"]


class SettingsError(Exception):
    """Invalid settings; the message is one line for the operator."""
