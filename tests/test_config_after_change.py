"""Decisions by a configuration that has changed, and answers that arrive late.

A request must not be handled by a replaced configuration after
``CONFIG_APPLY_S``. That can happen if the target's node does not check what a
sender that is behind has decided, and if a late answer counts as current at its
arrival.
"""

import pytest
from twisted.internet.defer import Deferred

from marjoramlead import store_watcher
from marjoramlead.feed_client import read_feed
from marjoramlead.hops import (
    JOB_HEADER,
    REPORT_HEADER,
    Job,
    decode_report,
    encode_job,
)
from marjoramlead.mesh_updates import (
    CHANGE_BOUND_S,
    OLD_TABLE_GRACE_S,
    apply_records,
    confirm_revision,
)
from marjoramlead.record_log import Record
from marjoramlead.store_watcher import StoreUpdate
from marjoramlead.target_runs import PendingBody, serve_job
from marjoramlead.upstream import (
    ConnectionPool,
    OutgoingRequest,
    header_value,
    send,
)
from marjoramlead.verdict import Refusal
from tests.memory_net import STEP_S
from tests.platform_mesh import INBOUND, config, ready_mesh, route
from tests.samples import rev

# Bound of the rules for a change to be in force.
CONFIG_APPLY_S = 2.5
# Shorter than the time that a node allows for an answer.
ON_LINK_S = 0.55
ADDED = [route('added', 'safe', 'web')]


def fleet(hosts=4):
    """Start hosts in two data centres and let them settle."""
    mesh = ready_mesh(*('web' for _host in range(hosts)))
    mesh.advance(3)
    return mesh


def parent(host):
    address = host.sidecar.store_watcher.feed_sources().parent
    return address[0] if address else None


def sleep(clock, seconds):
    waiting = Deferred()
    clock.callLater(seconds, waiting.callback, None)
    return waiting


def delay_store_answers(host, clock, seconds):
    """Deliver the answers to a node's calls some time after they are made.

    Returns the times at which the answers were made.
    """
    made_at = []
    store = host.sidecar.store_watcher.store

    def delayed(call):
        async def later(*arguments):
            answer = await call(*arguments)
            made_at.append(clock.seconds())
            await sleep(clock, seconds)
            return answer

        return later

    for name in ('list_all', 'watch', 'read_latest'):
        setattr(store, name, delayed(getattr(store, name)))
    return made_at


def delay_feed_answers(monkeypatch, host, clock, seconds):
    """Deliver the answers of other nodes some time after they are made.

    Returns the times at which the answers were made.
    """
    made_at = []
    feed_client = host and host.sidecar.store_watcher.feed_client

    async def later(client, address, query):
        answer = await read_feed(client, address, query)
        if client is feed_client or feed_client is None:
            made_at.append(clock.seconds())
            await sleep(clock, seconds)
        return answer

    monkeypatch.setattr(store_watcher, 'read_feed', later)
    return made_at


def never(*_arguments):
    """Return what is never delivered."""
    return Deferred()


def read_nothing(host):
    """Leave the reads of a node unanswered: of the store and of other nodes."""
    watcher = host.sidecar.store_watcher
    for name in ('list_all', 'watch', 'read_latest'):
        setattr(watcher.store, name, never)
    watcher.feed_client.connect = never
    watcher.feed_client.pools.clear()


def learn_from(mesh, host, informed):
    """Give a node all records that another node knows."""
    now = mesh.reactor.seconds()
    mesh_state, known = host.sidecar.mesh_state, informed.sidecar.mesh_state
    confirm_revision(mesh_state, known.revision, now, now)
    apply_records(mesh_state, known.records.by_key.values(), now)


def reader_and_follower(mesh):
    follower = next(host for host in mesh.hosts if parent(host))
    reader = next(
        host for host in mesh.hosts if host.address == parent(follower)
    )
    return reader, follower


def test_answer_of_the_store_confirms_the_time_at_which_it_was_made():
    mesh = fleet()
    reader, _follower = reader_and_follower(mesh)
    made_at = delay_store_answers(reader, mesh.reactor, ON_LINK_S)
    for _step in range(300):
        mesh.advance(0.01)
        arrived = [
            each
            for each in made_at
            if each + ON_LINK_S <= mesh.reactor.seconds()
        ]
        if arrived:
            confirmed_at = reader.sidecar.mesh_state.confirmed_at
            assert confirmed_at <= max(arrived) + 0.02


def test_change_that_ends_a_watch_confirms_no_later_time():
    mesh = fleet()
    reader, _follower = reader_and_follower(mesh)
    made_at = delay_store_answers(reader, mesh.reactor, ON_LINK_S)
    for step in range(600):
        if step % 97 == 0:
            mesh.publish(reader, born=step)
        mesh.advance(STEP_S)
        arrived = [
            each
            for each in made_at
            if each + ON_LINK_S <= mesh.reactor.seconds()
        ]
        if arrived:
            confirmed_at = reader.sidecar.mesh_state.confirmed_at
            assert confirmed_at <= max(arrived) + 0.02


def test_answer_of_a_node_confirms_the_time_at_which_it_was_made(monkeypatch):
    mesh = fleet()
    _reader, follower = reader_and_follower(mesh)
    made_at = delay_feed_answers(monkeypatch, follower, mesh.reactor, ON_LINK_S)
    for _step in range(300):
        mesh.advance(0.01)
        arrived = [
            each
            for each in made_at
            if each + ON_LINK_S <= mesh.reactor.seconds()
        ]
        if arrived:
            confirmed_at = follower.sidecar.mesh_state.confirmed_at
            assert confirmed_at <= max(arrived) + 0.02


def test_answer_that_knows_less_than_the_node_confirms_nothing():
    mesh = fleet()
    reader, _follower = reader_and_follower(mesh)
    watcher, mesh_state = (
        reader.sidecar.store_watcher,
        reader.sidecar.mesh_state,
    )
    before = mesh_state.confirmed_at
    mesh.reactor.rightNow += 0.5
    era, number = mesh_state.revision
    newer = number + 5
    known = Record('servers/new', b'{}', rev(newer, era))
    document = {
        'revision': newer,
        'era': era,
        'age_s': 0.5,
        'listings': [],
        'records': [
            {
                'key': known.key,
                'text': '{}',
                'revision': newer,
                'is_deleted': False,
            }
        ],
    }
    store_watcher._apply_document(
        watcher, document, 'peer', mesh.reactor.seconds()
    )
    from_peer = mesh_state.confirmed_at
    mesh.reactor.rightNow += 0.5
    store_watcher._apply_update(
        watcher, StoreUpdate([], rev(newer - 1, era)), mesh.reactor.seconds()
    )
    assert mesh_state.revision == rev(newer, era)
    assert mesh_state.confirmed_at == max(before, from_peer)


def test_listing_in_steps_confirms_the_time_of_its_first_page():
    """Changes made between the two steps of a read are not known yet."""
    mesh = fleet()
    reader, _follower = reader_and_follower(mesh)
    store = reader.sidecar.store_watcher.store
    call, listed_at = store._get, []

    async def call_slowly(endpoint, query, wait_s):
        if endpoint == 'kv-range':
            listed_at.append(mesh.reactor.seconds())
        elif listed_at:
            await sleep(mesh.reactor, ON_LINK_S)
        return await call(endpoint, query, wait_s)

    store._get = call_slowly
    mesh.configure(2)
    mesh.advance(0.3)
    mesh.configure(3)
    mesh_state = reader.sidecar.mesh_state
    while mesh_state.table.version < 3:
        mesh.advance(0.01)
    assert mesh_state.confirmed_at <= listed_at[-1] + 0.02


@pytest.mark.parametrize('moment_s', [0, 0.3, 0.6])
@pytest.mark.parametrize(
    ('store_s', 'feed_s'), [(0.3, 0.3), (0.55, 0.55), (1.2, 0.9)]
)
def test_added_route_is_not_refused_as_unknown_after_its_time(
    monkeypatch, store_s, feed_s, moment_s
):
    """No 404 for a route that was added more than ConfigApply ago."""
    mesh = fleet()
    for host in mesh.hosts:
        delay_store_answers(host, mesh.reactor, store_s)
    delay_feed_answers(monkeypatch, None, mesh.reactor, feed_s)
    mesh.advance(3 + moment_s)
    mesh.configure(2, routes=ADDED)
    mesh.advance(CONFIG_APPLY_S + 0.02)
    sent = [mesh.send(host, '/added/x') for host in mesh.hosts]
    mesh.advance(1)
    assert 404 not in {each.status for each in sent}


@pytest.mark.parametrize('change', ['dropped', 'moved'])
def test_node_that_knows_of_a_change_runs_nothing_by_an_older_version(change):
    """The sender is behind; the target's node has the new table."""
    mesh = ready_mesh('web', 'web', 'api', 'api')
    sender = mesh.hosts[0]
    mesh.configure(2, routes=[route('late', 'safe', 'api')])
    mesh.advance(3)
    read_nothing(sender)
    mesh.advance(2)
    rows = [] if change == 'dropped' else [route('late', 'safe', 'web')]
    mesh.configure(3, routes=rows)
    mesh.advance(CONFIG_APPLY_S + 0.5)
    in_force = [each.sidecar.mesh_state.table.version for each in mesh.hosts]
    assert in_force == [2, 3, 3, 3]
    sent = mesh.send(sender, '/late/x')
    mesh.advance(1)
    arrivals = [
        host.service
        for host in mesh.hosts
        for each in host.target.arrivals
        if each.ran and each.request_id == sent.request_id
    ]
    assert 'api' not in arrivals


def behind_mesh(rows, **target_options):
    """Start hosts of which the first knows nothing of a change to some rows.

    The others know of it for longer than a change may take.
    """
    mesh = ready_mesh('web', 'web', 'api', 'api', **target_options)
    mesh.configure(2, routes=[route('late', 'unsafe', 'api')])
    mesh.advance(3)
    read_nothing(mesh.hosts[0])
    mesh.advance(2)
    mesh.configure(3, routes=rows)
    mesh.advance(CONFIG_APPLY_S + 0.5)
    return mesh


def test_refusal_of_an_old_route_is_a_promise_with_a_short_delay():
    mesh = behind_mesh([])
    sent = mesh.send(mesh.hosts[0], '/late/x')
    mesh.advance(0.1)
    assert sent.status == 503
    assert sent.header(b'x-marjoram-reason') == 'route_changed'
    assert 0 < float(sent.header(b'retry-after')) <= 0.3
    assert not mesh.runs(sent.request_id)
    sender_state = mesh.hosts[0].sidecar.mesh_state
    assert sender_state.reported_revision > sender_state.revision


def test_sender_that_is_refused_learns_of_the_change_from_another_node():
    mesh = behind_mesh([route('late', 'unsafe', 'web')])
    sender = mesh.hosts[0]
    sender.sidecar.store_watcher.feed_client.connect = mesh.hosts[
        1
    ].sidecar.store_watcher.feed_client.connect
    mesh.send(sender, '/late/x')
    mesh.advance(1.5)
    sent = mesh.send(sender, '/late/x')
    mesh.advance(0.5)
    assert sent.status == 200


def test_route_that_still_leads_to_the_service_is_served():
    split = [
        {'Service': 'api', 'Weight': 1},
        {'Service': 'web', 'Weight': 1},
    ]
    mesh = behind_mesh([route('late', 'unsafe', None, split)])
    sent = mesh.send(mesh.hosts[0], '/late/x')
    mesh.advance(0.5)
    assert sent.status == 200


def test_job_without_a_version_is_served(monkeypatch):
    """Older nodes don't say by which version they chose the target."""
    mesh = behind_mesh([])
    monkeypatch.setattr(
        'marjoramlead.dispatch.Job',
        lambda **terms: Job(**{**terms, 'version': None}),
    )
    sent = mesh.send(mesh.hosts[0], '/late/x')
    mesh.advance(0.5)
    assert sent.status == 200


def test_sender_may_know_of_a_change_before_the_target_does():
    mesh = ready_mesh('web', 'web', 'api', 'api')
    mesh.advance(3)
    for host in mesh.hosts[2:]:
        read_nothing(host)
    mesh.advance(2)
    mesh.configure(2, routes=[route('late', 'unsafe', 'api')])
    mesh.advance(CONFIG_APPLY_S + 0.5)
    in_force = [each.sidecar.mesh_state.table.version for each in mesh.hosts]
    assert in_force == [2, 2, 1, 1]
    sent = mesh.send(mesh.hosts[0], '/late/x')
    mesh.advance(0.5)
    assert sent.status == 200


def test_request_shortly_after_a_change_is_not_refused():
    """Nodes don't learn of a change at the same time."""
    mesh = ready_mesh('web', 'web', 'api', 'api')
    mesh.configure(2, routes=[route('late', 'unsafe', 'api')])
    mesh.advance(3)
    sender, target_node = mesh.hosts[0], mesh.hosts[2]
    read_nothing(sender)
    read_nothing(mesh.hosts[3])
    mesh.advance(2)
    mesh.configure(3)
    while target_node.sidecar.mesh_state.table.version < 3:
        mesh.advance(STEP_S)
    mesh.advance(OLD_TABLE_GRACE_S - 0.2)
    sent = mesh.send(sender, '/late/x')
    mesh.advance(0.1)
    assert sent.status == 200


@pytest.mark.parametrize('change', ['dropped', 'moved'])
def test_waiting_request_is_not_run_if_the_change_was_due_before(change):
    """The target's node learns late of the change, with the request queued."""
    mesh = ready_mesh('web', 'web', 'api', slots=1, work_s=0.5)
    mesh.configure(2, routes=[route('late', 'unsafe', 'api')])
    mesh.advance(3)
    sender, informed, target_node = mesh.hosts
    read_nothing(sender)
    read_nothing(target_node)
    mesh.advance(2)
    rows = [] if change == 'dropped' else [route('late', 'unsafe', 'web')]
    mesh.configure(3, routes=rows)
    mesh.advance(CONFIG_APPLY_S)
    first = mesh.send(sender, '/late/x')
    mesh.advance(0.05)
    waiting = mesh.send(sender, '/late/x')
    mesh.advance(0.05)
    learn_from(mesh, target_node, informed)
    mesh.advance(0.8)
    assert first.status == 200
    assert waiting.status == 503
    assert not mesh.runs(waiting.request_id)


def test_waiting_request_keeps_a_route_that_changes_meanwhile():
    """An earlier version that did not concern the route is no reason."""
    mesh = ready_mesh('web', 'web', 'api', slots=1, work_s=0.5)
    late = route('late', 'unsafe', 'api')
    mesh.configure(2, routes=[late])
    mesh.advance(3)
    sender, _informed, target_node = mesh.hosts
    read_nothing(sender)
    mesh.advance(2)
    mesh.configure(3, routes=[late, *ADDED])
    mesh.advance(CONFIG_APPLY_S)
    target_state = target_node.sidecar.mesh_state
    assert target_state.table.version == 3
    first = mesh.send(sender, '/late/x', wait_ms=3000)
    waiting = mesh.send(sender, '/late/x', wait_ms=3000)
    mesh.advance(0.05)
    mesh.configure(4)
    mesh.advance(0.4)
    assert target_state.table.version == 4
    assert not first.reply
    mesh.advance(1)
    assert first.status == 200
    assert waiting.status == 200


def test_sender_routes_again_if_it_learns_of_the_change_meanwhile():
    """The refusal and the newer table reach the sender at the same time."""
    mesh = behind_mesh([route('late', 'unsafe', 'web')])
    sender, informed = mesh.hosts[:2]
    hop_client = sender.sidecar.dispatcher.hop_client
    hop_client.on_revision = lambda _revision: learn_from(
        mesh, sender, informed
    )
    sent = mesh.send(sender, '/late/x')
    mesh.advance(0.5)
    assert sent.status == 200
    assert mesh.runs(sent.request_id) == 1


def test_old_route_is_offered_to_one_target_only():
    mesh = behind_mesh([])
    sender = mesh.hosts[0]
    mesh.send(sender, '/late/x')
    mesh.advance(0.5)
    offers = sender.sidecar.metrics.offers
    assert offers.labels('route_changed')._value.get() == 1


def late_job(request_id, target_id, received_at, kind='at_most_once'):
    """Build a job that version 2 sends to a target."""
    return Job(
        request_id=request_id,
        attempt=1,
        is_retry=False,
        target_id=target_id,
        route='late',
        retry_policy=kind,
        priority=1,
        soft_deadline=received_at + 5,
        deadline=received_at + 5,
        calling_service='web',
        may_wait=True,
        is_nested=False,
        has_reservation=False,
        rate_limit_per_s=None,
        method=b'POST',
        uri=b'/late/x',
        headers=[
            (b'Host', b'shop.example'),
            (b'X-Request-Id', request_id.encode()),
        ],
        body=b'',
        received_at=received_at,
        version=2,
    )


def reason_of(outcome):
    return outcome.reason if isinstance(outcome, Refusal) else 'answered'


@pytest.mark.parametrize(
    ('sent_after_s', 'reason'),
    [
        (CHANGE_BOUND_S - 0.1, 'answered'),
        (CHANGE_BOUND_S + 0.1, 'route_changed'),
    ],
)
@pytest.mark.parametrize('is_body_there', [True, False])
def test_upload_whose_route_changes_before_it_has_a_slot_again(
    sent_after_s, reason, is_body_there
):
    """Its body arrives while the slot is taken, or after the change."""
    mesh = ready_mesh('web', 'api', slots=1, work_s=0.5)
    mesh.configure(2, routes=[route('late', 'upload', 'api')])
    mesh.advance(3)
    informed, target_node = mesh.hosts
    read_nothing(target_node)
    mesh.advance(2)
    mesh.configure(3)
    gate = target_node.sidecar.gate
    sent_at = target_node.sidecar.mesh_state.confirmed_at + sent_after_s
    mesh.advance(sent_at + 0.05 - mesh.reactor.seconds())
    body, outcomes = Deferred(), []

    async def receive_ahead():
        return await body

    async def receive_end():
        return b'x'

    target_id = target_node.target.target_id
    upload = late_job('u1', target_id, sent_at, 'upload')
    pending_body = PendingBody(1, receive_ahead, receive_end)
    serving = serve_job(gate, upload, pending_body=pending_body)
    serving.addCallback(outcomes.append)
    mesh.advance(0.05)
    if is_body_there:
        serve_job(gate, late_job('r1', target_id, sent_at))
        mesh.advance(0.05)
        body.callback(b'')
    learn_from(mesh, target_node, informed)
    if not is_body_there:
        body.callback(b'')
    mesh.advance(2)
    assert [reason_of(each) for each in outcomes] == [reason]
    assert mesh.runs('r1') == is_body_there


@pytest.mark.parametrize(('age_s', 'reason'), [(0.3, ''), (0, 'route_changed')])
def test_age_of_a_request_is_that_at_its_sender(age_s, reason):
    mesh = ready_mesh('web', 'api')
    mesh.configure(2, routes=[route('late', 'unsafe', 'api')])
    mesh.advance(3)
    target_node = mesh.hosts[1]
    mesh.configure(3)
    while target_node.sidecar.mesh_state.table.version < 3:
        mesh.advance(STEP_S)
    mesh.advance(OLD_TABLE_GRACE_S + 0.1)
    now = mesh.reactor.seconds()
    job = late_job('r1', target_node.target.target_id, now - age_s)
    headers = [*job.headers, (JOB_HEADER, encode_job(job, now, 0))]
    outgoing = OutgoingRequest(b'POST', job.uri, headers, b'')
    address = (target_node.address, INBOUND)
    pool = ConnectionPool(mesh.reactor, address, 0, mesh.connect)
    sent = []
    sending = Deferred.fromCoroutine(send(pool, outgoing))
    sending.addCallback(sent.append)
    mesh.advance(0.5)
    raw = header_value(sent[0].ok.headers, REPORT_HEADER)
    assert decode_report(raw).ok['reason'] == reason


def test_request_sent_before_a_change_keeps_its_route():
    """The rules count from sending; what was admitted before may still run."""
    mesh = ready_mesh('web', 'api', slots=1, work_s=0.3)
    first = mesh.send(mesh.hosts[1])
    waiting = mesh.send(mesh.hosts[1])
    mesh.advance(0.01)
    document = config(2)
    document['Routes']['Rows'] = document['Routes']['Rows'][1:]
    mesh.configure(2, Routes=document['Routes'])
    mesh.advance(2)
    late = mesh.send(mesh.hosts[1])
    mesh.advance(0.5)
    assert first.status == 200
    assert waiting.status in {200, 503}
    assert late.status == 404
    assert not mesh.runs(late.request_id)


@pytest.mark.parametrize('store_s', [0.004, 0.1])
def test_follower_keeps_a_parent_that_reads_a_changing_store(
    monkeypatch, store_s
):
    """A change that ends a long watch does not make its answer old."""
    logged = []
    monkeypatch.setattr(
        store_watcher, 'emit', lambda kind, **_fields: logged.append(kind)
    )
    mesh = fleet(hosts=6)
    for host in mesh.hosts:
        delay_store_answers(host, mesh.reactor, store_s)
    for version in range(2, 8):
        mesh.configure(version, routes=ADDED * (version % 2))
        mesh.advance(0.69)
        mesh.publish(mesh.hosts[0], born=version)
        mesh.advance(1.37)
    assert 'news' in logged
    assert 'parent_lost' not in logged
