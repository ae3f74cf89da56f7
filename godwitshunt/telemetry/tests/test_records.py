"""Log lines."""

import eliot

from godwitshunt.telemetry import log_change


def test_line_may_have_a_field_named_change():
    """A committed change of members that was never logged."""
    lines = []
    eliot.add_destinations(lines.append)
    try:
        log_change('consensus:membership_healed', change='AddLearner')
    finally:
        eliot.remove_destination(lines.append)
    assert lines[-1]['message_type'] == 'consensus:membership_healed'
    assert lines[-1]['change'] == 'AddLearner'
