"""Answers to pulls of routers that learn of changes from this one."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import accumulate

from carobstair.core.fleet_view import FleetView, StateKind, StoreChange
from carobstair.core.messages import StateNews, StatePull, StateRow
from carobstair.core.store_following.read_stamps import ReadStamps
from carobstair.core.store_stamp import Stamp

__all__ = ["MAX_STATE_ROWS", "contiguous_answers", "select_rows"]

# Rows in one message of changes; the receiver pulls again for the rest.
MAX_STATE_ROWS = 400
# Rows of a kind that are sent in one message, half of what a peer may send at once
# before its connection is closed. The receiver pulls again for the rest of the changes;
# if it needs a complete list that is longer, it lists by itself.
MAX_COMPLETE_BYTES = 256 * 1024
# All rows that answer one pull; the rest of the 512 KiB that a peer may send at once is
# left for digests and announcements.
MAX_ANSWER_BYTES = 448 * 1024
# Upper bound of what a row takes besides its name and document.
ROW_BYTES = 40


def contiguous_answers(
    view: FleetView, reads: ReadStamps, pull: StatePull, steady: bool
) -> Iterator[StateNews]:
    """Yield what the sender of a pull has missed, a message for each kind.

    Kinds that would exceed `MAX_ANSWER_BYTES` together are left for the next pull.

    Parameters
    ----------
    steady : bool
        Whether removals are to be applied at once.
    """
    left = MAX_ANSWER_BYTES
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
            news = _changes(view, kind, since, own, steady, left)
        if news is None:
            continue
        size = sum(map(_size, news.rows))
        if size <= left:
            left -= size
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
    rows = [_row(change) for change in view.objects(kind).values()]
    if sum(map(_size, rows)) > MAX_COMPLETE_BYTES:
        return None
    return StateNews(kind.value, rows, steady, own, None, own)


def _changes(
    view: FleetView,
    kind: StateKind,
    since: Stamp,
    own: Stamp,
    steady: bool,
    left_bytes: int,
) -> StateNews:
    """Return the first changes that fit, and one at least: any document is sent."""
    changes = view.changes_since(kind, since.revision, since.era)
    rows = [_row(change) for change in changes[:MAX_STATE_ROWS]]
    limit = min(left_bytes, MAX_COMPLETE_BYTES)
    count = sum(size <= limit for size in accumulate(map(_size, rows)))
    # A document may itself have `MAX_COMPLETE_BYTES`.
    count = max(count, min(1, len(rows)))
    is_cut = count < len(changes)
    through = min(own, changes[count - 1].stamp) if is_cut else own
    return StateNews(kind.value, rows[:count], steady, None, since, through)


def _row(change: StoreChange) -> StateRow:
    return StateRow(change.name, change.revision, change.spec, change.era)


def _size(row: StateRow) -> int:
    return ROW_BYTES + len(row.name.encode()) + len(row.spec or b"")
