"""Tests of the connects to upstreams that may have ended."""

import asyncio
import time
import unittest
from unittest import mock

from carobstair.edge import end_probes
from carobstair.edge.end_probes import EndProbes
from carobstair.edge.upstream_connection import ConnectionBroken
from following_fleet import run_virtually
from test_directory import make_entry


class EndProbesTest(unittest.TestCase):
    """Guards against probes that load an upstream, or that miss its end."""

    def probe(self, seconds, lives_s, gap_s=0.005):
        """Break off an answer at each gap; return the times of what follows.

        Parameters
        ----------
        lives_s : float
            Time for which the upstream takes connections.

        Returns
        -------
        tuple of list
            Times of connects, of results that it lives, and that it does not.
        """
        connects, alive, unreachable = [], [], []

        async def connect(host, port):
            connects.append(time.monotonic() - began_s)
            if connects[-1] >= lives_s:
                raise ConnectionBroken("refused")
            return mock.Mock()

        async def play():
            nonlocal began_s
            began_s = time.monotonic()
            probes = EndProbes(
                lambda entry, error: unreachable.append(time.monotonic() - began_s),
                lambda entry: alive.append(time.monotonic() - began_s),
            )
            entry = make_entry()
            while time.monotonic() < began_s + seconds and not unreachable:
                probes.begin(entry, broken=True)
                await asyncio.sleep(gap_s)

        began_s = 0.0
        with mock.patch.object(end_probes, "connect", connect):
            run_virtually(play())
        return connects, alive, unreachable

    def test_upstream_that_breaks_off_all_answers_gets_few_connects(self):
        connects, alive, unreachable = self.probe(20.0, 100.0)
        self.assertLessEqual(len(connects), 5 * 20)
        worst = max(sum(t <= u < t + 1.0 for u in connects) for t in connects)
        self.assertLessEqual(worst, 7)
        # Each probe comes to a result all the same.
        self.assertGreaterEqual(len(alive), 10)
        self.assertEqual(unreachable, [])

    def test_end_after_the_first_connect_is_seen_soon(self):
        _, _, unreachable = self.probe(20.0, 0.03)
        self.assertLess(unreachable[0], 0.08)


if __name__ == "__main__":
    unittest.main()
