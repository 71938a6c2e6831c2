"""Messages between nodes about forwarded requests."""

import msgspec

from marjoramlead.hops import (
    decode_report,
    encode_report,
    revision_from_report,
)
from marjoramlead.target_queue import LoadReport
from tests.samples import rev

IDLE = LoadReport(4, 0, 0.1)


def test_report_carries_the_era_of_its_revision():
    encoded = encode_report(IDLE, None, rev(7, era=2)).decode()
    report = decode_report(encoded).ok
    assert revision_from_report(report) == rev(7, era=2)


def test_report_of_an_earlier_version_is_of_the_first_era():
    report = msgspec.json.decode(encode_report(IDLE, None, rev(7, era=2)))
    report.pop('era')
    decoded = decode_report(msgspec.json.encode(report).decode()).ok
    assert revision_from_report(decoded) == rev(7)
