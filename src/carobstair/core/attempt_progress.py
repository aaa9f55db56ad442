"""How far the answer to one attempt at an upstream has come."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["AttemptProgress"]


@dataclass(slots=True)
class AttemptProgress:
    """Times of an attempt, all monotonic.

    Attributes
    ----------
    sent_s : float
        Time of the send.
    head_s, first_byte_s, last_byte_s : float or None
        Times of the head and of the first and last part of the body.
    """

    sent_s: float
    head_s: float | None = None
    first_byte_s: float | None = None
    last_byte_s: float | None = None

    @property
    def written_s(self) -> float:
        """How long the upstream has been writing the body, in seconds."""
        if self.first_byte_s is None:
            return 0.0
        return self.last_byte_s - self.first_byte_s

    @property
    def last_sign_s(self) -> float:
        """Time of the last sign of the upstream, or of the send."""
        return self.last_byte_s or self.head_s or self.sent_s

    def note_body(self, now_s: float) -> None:
        """Record that a part of the body has arrived."""
        if self.first_byte_s is None:
            self.first_byte_s = now_s
        self.last_byte_s = now_s

    def log_fields(self, now_s: float) -> dict[str, float | None]:
        """Return the ages in seconds of the send, the head and the body."""
        return {
            f"{name}_ago_s": None if at_s is None else round(now_s - at_s, 4)
            for name, at_s in (
                ("sent", self.sent_s),
                ("head", self.head_s),
                ("first_byte", self.first_byte_s),
                ("last_byte", self.last_byte_s),
            )
        }
