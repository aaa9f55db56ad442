"""Message by which routers that watch the store tell their zone what they have read."""

from __future__ import annotations

import msgspec

__all__ = ["FollowNews"]


class FollowNews(msgspec.Struct, frozen=True, array_like=True):
    """What the sender, which watches the store, has read of each kind of state.

    The lists have one figure for each kind, in the order of the kinds. A kind that the
    sender has not listed has zeros.

    Attributes
    ----------
    eras : list of int
        Eras of the revisions.
    changed : list of int
        Revision up to which the receiver must have read the kind to miss no change.
    read : list of int
        Revision up to which the sender has read the kind; nothing changed in between.
    answers : bool
        Whether the store answers the sender.
    steady : bool
        Whether the store has answered for long enough for removals to be applied at
        once.
    is_busy : bool
        Whether the sender asks others to watch in its place.
    """

    eras: list[int]
    changed: list[int]
    read: list[int]
    answers: bool
    steady: bool = True
    is_busy: bool = False
