"""Tests of the fleet state that results from tickets, and of stored tickets."""

import unittest

from carobstair.core.state import AvailabilityZone, FleetState, Ticket
from carobstair.models import (
    ModelError,
    TicketModel,
    decode_state,
    decode_ticket,
    encode_state,
    encode_ticket,
    parse_model,
)

UPSTREAM = {
    "pool": "draft",
    "kind": "engine",
    "address": "http://127.0.0.1:9000",
    "zone": "lac",
}


def zone_ticket(number: int, in_service: bool) -> Ticket:
    """Return a ticket that sets the state of the zone lac."""
    zones = {"lac": AvailabilityZone("lac", in_service)}
    return Ticket(number, f"s{number}", zones=zones)


class FleetStateTest(unittest.TestCase):
    """Guards against a state that reverts or skips a ticket."""

    def test_older_ticket_changes_nothing(self):
        state = FleetState().apply(zone_ticket(1, True)).apply(zone_ticket(2, False))
        self.assertIs(state.apply(zone_ticket(1, True)), state)
        self.assertFalse(state.zone_in_service("lac"))

    def test_gap_is_an_error(self):
        with self.assertRaises(ValueError):
            FleetState().apply(zone_ticket(2, True))


class TicketModelTest(unittest.TestCase):
    """Guards against tickets that lose fields, and errors that don't name the field."""

    def test_stored_ticket_reads_back_the_same(self):
        model = TicketModel(number=1, submission_id="s", upstreams={"e1": UPSTREAM})
        ticket = decode_ticket(encode_ticket(model))
        self.assertEqual(ticket, model.to_core())

    def test_error_names_the_field(self):
        text = b'{"upstreams": {"e1": {"pool": "draft", "kind": "tape"}}}'
        with self.assertRaisesRegex(ModelError, r"upstreams\.e1\.kind"):
            parse_model(TicketModel, text)

    def test_snapshot_reads_back_the_same(self):
        model = TicketModel(number=1, submission_id="s", upstreams={"e1": UPSTREAM})
        state = FleetState().apply(model.to_core())
        self.assertEqual(decode_state(encode_state(state)), state)
