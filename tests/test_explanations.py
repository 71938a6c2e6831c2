from marjoramlead.explanations import explain_reason
from marjoramlead.refusals import MAX_KEPT, RecentRefusals, record_refusal
from marjoramlead.verdict import Reason, Refusal, Verdict
from tests.mesh import Mesh


def test_every_reason_is_explained():
    for reason in Reason:
        meaning, advice = explain_reason(reason)
        assert meaning.endswith('.')
        assert advice.endswith('.')


def test_refused_call_is_found_by_its_request_id():
    mesh = Mesh(nodes=1, queue=0)
    calls = [mesh.call(0) for _call in range(5)]
    mesh.net.pump()
    recent_refusals = mesh.gateways[0].recent_refusals.by_id
    assert len(recent_refusals) == 3
    for call in calls:
        if call.ended:
            assert (
                recent_refusals[call.request_id]['reason']
                == call.ended[0].reason
            )


def test_oldest_refusals_are_discarded():
    recent = RecentRefusals()
    refusal = Refusal(Reason.OVERLOAD, Verdict.NOT_RUN)
    for number in range(MAX_KEPT + 5):
        record_refusal(recent, str(number), refusal, ())
    assert len(recent.by_id) == MAX_KEPT
    assert '4' not in recent.by_id
