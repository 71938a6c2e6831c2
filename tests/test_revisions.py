"""The order of changes across restorations of the store."""

import pytest

from marjoramlead.revisions import NO_REVISION, may_follow
from tests.samples import rev


def test_all_of_a_later_era_comes_after_all_of_an_earlier_one():
    in_order = [NO_REVISION, rev(1), rev(9), rev(3, era=1), rev(1, era=2)]
    assert sorted(set(in_order)) == in_order


@pytest.mark.parametrize('is_complete', [False, True])
@pytest.mark.parametrize('known', [NO_REVISION, rev(5, era=1)])
def test_records_of_the_same_era_may_follow(known, is_complete):
    assert may_follow(known, rev(4, era=1), is_complete=is_complete)


def test_later_era_begins_with_all_of_its_records():
    assert may_follow(rev(9, era=1), rev(4, era=2), is_complete=True)
    assert not may_follow(rev(9, era=1), rev(4, era=2), is_complete=False)


@pytest.mark.parametrize('is_complete', [False, True])
def test_records_of_an_earlier_era_do_not_follow(is_complete):
    assert not may_follow(rev(4, era=2), rev(9, era=1), is_complete=is_complete)
