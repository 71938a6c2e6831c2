"""Uploads whose bodies take long to arrive at the node of their target."""

from twisted.internet.defer import Deferred

from marjoramlead.hops import Job
from marjoramlead.target_runs import PendingBody, abandon_job, serve_job
from marjoramlead.verdict import Reason, Refusal, Verdict
from tests.platform_mesh import ready_mesh

BODY = b'x' * 50_000


def upload_job(mesh, request_id, wait_s=2):
    now = mesh.reactor.seconds()
    return Job(
        request_id=request_id,
        attempt=1,
        is_retry=False,
        target_id=mesh.hosts[0].target.target_id,
        route='scan',
        retry_policy='upload',
        priority=1,
        soft_deadline=now + wait_s / 2,
        deadline=now + wait_s,
        calling_service='api',
        may_wait=True,
        is_nested=False,
        has_reservation=False,
        rate_limit_per_s=None,
        method=b'POST',
        uri=b'/scan/x',
        headers=[
            (b'Host', b'shop.example'),
            (b'X-Request-Id', request_id.encode()),
        ],
        body=b'',
    )


def start_upload(mesh, request_id='u1', wait_s=2):
    """Offer an upload; return its job, its body and what becomes of it."""
    job, body, outcomes = upload_job(mesh, request_id, wait_s), Deferred(), []

    async def receive_ahead():
        return await body

    async def receive_end():
        return BODY

    gate = mesh.hosts[0].sidecar.gate
    pending_body = PendingBody(len(BODY), receive_ahead, receive_end)
    serving = serve_job(gate, job, pending_body=pending_body)
    serving.addCallback(outcomes.append)
    return job, body, outcomes


def test_slot_is_free_while_the_body_of_an_upload_arrives():
    mesh = ready_mesh('web', 'api', slots=1)
    _job, body, outcomes = start_upload(mesh)
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(0.2)
    assert sent.status == 200
    body.callback(BODY)
    mesh.advance(0.2)
    assert outcomes[0].status == 200
    assert mesh.hosts[0].target.most_running == 1


def test_upload_whose_body_has_arrived_is_not_refused_any_more():
    mesh = ready_mesh('web', 'api', slots=1)
    _job, body, outcomes = start_upload(mesh)
    for step in range(38):
        if step == 22:  # past the latency objective of the upload
            body.callback(BODY)
        for _request in range(2):
            mesh.send(mesh.hosts[1])
        mesh.advance(0.05)
    assert outcomes[0].status == 200


def test_upload_that_is_abandoned_before_its_body_arrives_is_not_run():
    mesh = ready_mesh('web', slots=1)
    job, _body, outcomes = start_upload(mesh)
    abandon_job(mesh.hosts[0].sidecar.gate, job)
    assert outcomes == [Refusal(Reason.CALLER_GONE, Verdict.NOT_RUN, 0)]
    assert not mesh.hosts[0].sidecar.gate.queue.receiving
    assert not mesh.runs(job.request_id)


def test_target_that_leaves_meanwhile_does_not_run_the_upload():
    mesh = ready_mesh('web', slots=1)
    job, body, outcomes = start_upload(mesh)
    mesh.publish(mesh.hosts[0], state='draining')
    mesh.advance(1)
    body.callback(BODY)
    mesh.advance(0.5)
    assert outcomes == [Refusal(Reason.DRAINING, Verdict.NOT_RUN, 0)]
    assert not mesh.runs(job.request_id)


def test_no_more_bodies_are_awaited_than_the_target_has_slots():
    mesh = ready_mesh('web', slots=2)
    uploads = [start_upload(mesh, f'u{number}') for number in range(4)]
    refused = [outcomes for _job, _body, outcomes in uploads if outcomes]
    assert len(refused) == 2
    assert {outcomes[0].reason for outcomes in refused} == {Reason.OVERLOAD}


def test_waiting_uploads_are_not_awaited_beyond_the_slots_of_the_target():
    mesh = ready_mesh('web', slots=3)
    gate = mesh.hosts[0].sidecar.gate
    for _request in range(3):
        mesh.send(mesh.hosts[0])
    mesh.advance(0.03)
    for number in range(9):
        start_upload(mesh, f'u{number}', wait_s=5)
    assert len(gate.queue.waiting) > 3
    mesh.advance(0.15)
    assert 0 < len(gate.queue.receiving) <= 3


# Uploads that are refused one after the other called each other: 120 of them
# ended in a RecursionError, and a slot was never given back.
def test_many_waiting_uploads_are_refused_without_deep_calls():
    mesh = ready_mesh('web', 'api', slots=1)
    gate = mesh.hosts[0].sidecar.gate
    for number in range(20):  # the node learns how long the work takes
        start_upload(mesh, f'known{number}')[1].callback(BODY)
        mesh.advance(1)
    running = mesh.send(mesh.hosts[1])
    mesh.advance(0.01)
    assert len(gate.queue.running) == 1
    uploads = [
        start_upload(mesh, f'u{number}', wait_s=600) for number in range(300)
    ]
    assert len(gate.queue.waiting) >= 200
    mesh.advance(1)
    assert running.status == 200
    assert len(gate.queue.receiving) == 1
    assert not gate.queue.running
    _job, body, outcomes = next(each for each in uploads if not each[2])
    body.callback(BODY)
    mesh.advance(1)
    assert outcomes[0].status == 200
    refused = [each[2] for each in uploads if each[2] is not outcomes]
    assert all(each[0].verdict is Verdict.NOT_RUN for each in refused)
    sent = mesh.send(mesh.hosts[1])
    mesh.advance(1)
    assert sent.status == 200
