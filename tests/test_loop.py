"""The clock of the event loop."""

import time

from twisted.internet.selectreactor import SelectReactor

from marjoramlead.loop import BOOT_CLOCK, count_suspended_time


# Data of a node that had been suspended seemed fresh to those that follow it.
def test_clock_of_the_loop_counts_suspended_time(monkeypatch):
    clocks = {BOOT_CLOCK: 100.0}
    monkeypatch.setattr(time, 'clock_gettime', clocks.get)
    reactor = SelectReactor()
    count_suspended_time(reactor)
    calls = []
    reactor.callLater(5, calls.append, 'due')
    reactor.runUntilCurrent()
    assert not calls
    clocks[BOOT_CLOCK] += 6  # no other clock went on
    reactor.runUntilCurrent()
    assert calls == ['due']
    assert reactor.seconds() == 106
