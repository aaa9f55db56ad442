"""Answers to pulls of routers that learn of changes from this one."""

from __future__ import annotations

from collections.abc import Iterator

from carobstair.core.fleet_view import FleetView, StateKind
from carobstair.core.messages import StateNews, StatePull, StateRow
from carobstair.core.store_following.read_stamps import ReadStamps
from carobstair.core.store_stamp import Stamp

__all__ = ["MAX_STATE_ROWS", "contiguous_answers", "select_rows"]

# Rows in one message of changes; the receiver pulls again for the rest.
MAX_STATE_ROWS = 400
# Objects of a kind that are sent in one message, half of what a peer may send at once
# before its connection is closed. A receiver that needs more lists by itself.
MAX_COMPLETE_BYTES = 256 * 1024


def contiguous_answers(
    view: FleetView, reads: ReadStamps, pull: StatePull, steady: bool
) -> Iterator[StateNews]:
    """Yield what the sender of a pull has missed, a message for each kind.

    Parameters
    ----------
    steady : bool
        Whether removals are to be applied at once.
    """
    for kind in view.kinds:
        own, floor = reads.read(kind), reads.floor(kind)
        if own is None or floor is None:
            continue
        since = Stamp(pull.eras.get(kind.value, 0), pull.revisions.get(kind.value, 0))
        if since >= reads.changed(kind):
            continue
        if since < max(floor, view.forgotten(kind)):
            news = _complete(view, kind, own, steady)
        else:
            news = _changes(view, kind, since, own, steady)
        if news is not None:
            yield news


def select_rows(
    news: StateNews, view: FleetView, reads: ReadStamps
) -> list[StateRow] | None:
    """Return the rows of a peer's message that may be applied, or None for none of it.

    Objects that are unknown here although all changes up to their stamps have been
    read were removed meanwhile. The peer may not know of the removal, and if this
    router read it in a list, it keeps no record of it either.
    """
    kind = StateKind(news.kind)
    read = reads.read(kind)
    if read is None:
        return news.rows
    if news.complete_at is not None and Stamp(*news.complete_at) < read:
        return None
    known = view.objects(kind)
    return [
        row
        for row in news.rows
        if row.name in known or Stamp(row.era, row.revision) > read
    ]


def _complete(
    view: FleetView, kind: StateKind, own: Stamp, steady: bool
) -> StateNews | None:
    """Return all objects: some removals since the receiver's stamp are not known."""
    objects = view.objects(kind).values()
    if sum(len(change.spec or b"") for change in objects) > MAX_COMPLETE_BYTES:
        return None
    rows = [StateRow(c.name, c.revision, c.spec, c.era) for c in objects]
    return StateNews(kind.value, rows, steady, own, None, own)


def _changes(
    view: FleetView, kind: StateKind, since: Stamp, own: Stamp, steady: bool
) -> StateNews:
    changes = view.changes_since(kind, since.revision, since.era)
    through = own
    if len(changes) > MAX_STATE_ROWS:
        changes = changes[:MAX_STATE_ROWS]
        through = min(own, changes[-1].stamp)
    rows = [StateRow(c.name, c.revision, c.spec, c.era) for c in changes]
    return StateNews(kind.value, rows, steady, None, since, through)
