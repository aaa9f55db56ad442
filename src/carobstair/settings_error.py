"""The error of settings, apart from the models so that it costs no import."""

__all__ = ["SettingsError"]


class SettingsError(Exception):
    """A settings mistake; its text is one line for the operator."""
