"""Following the store by a few routers of each zone.

`WatchDuty` decides whether a router watches the store or relies on others,
`ReadStamps` knows up to where each kind of state was read without a gap,
`Announcers` holds what other routers have announced, `PullPlan` decides when and from
whom changes are pulled, `contiguous_answers` are the answers to these pulls, and
`StoreFollowing` puts them together for one router.
"""

from carobstair.core.follow_messages import FollowNews
from carobstair.core.store_following.announcers import Announced, Announcers
from carobstair.core.store_following.answers import (
    MAX_STATE_ROWS,
    contiguous_answers,
    select_rows,
)
from carobstair.core.store_following.duty import Role, WatchDuty
from carobstair.core.store_following.following import (
    URGENT_KINDS,
    NewsEffect,
    StoreFollowing,
)
from carobstair.core.store_following.pulls import PullPlan
from carobstair.core.store_following.read_stamps import ReadStamps
from carobstair.core.store_following.settings import FollowingSettings

__all__ = [
    "MAX_STATE_ROWS",
    "URGENT_KINDS",
    "Announced",
    "Announcers",
    "FollowNews",
    "FollowingSettings",
    "NewsEffect",
    "PullPlan",
    "ReadStamps",
    "Role",
    "StoreFollowing",
    "WatchDuty",
    "contiguous_answers",
    "select_rows",
]
