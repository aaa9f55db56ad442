"""Router fleet that shares model and service capacity between workspaces."""

__all__ = ["__version__"]

__version__ = "0.1.0"
