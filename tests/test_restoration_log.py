"""Log lines of a node whose store was restored from a copy."""

from collections import Counter

from marjoramlead.restoration_log import log_restoration
from marjoramlead.revisions import NO_REVISION
from standins.platform_store import delete, put, restore, snapshot
from tests.platform_mesh import ready_mesh
from tests.samples import rev
from tests.test_sidecar_status import get


def logged_lines(monkeypatch):
    """Return a list to which log lines are added, as kind and fields."""
    lines = []

    def log(kind, **fields):
        lines.append((kind, fields))

    for module in ('store_watcher', 'restoration_log', 'lifecycle'):
        monkeypatch.setattr(f'marjoramlead.{module}.emit', log)
    return lines


def fields_of(lines, kind):
    return [fields for each, fields in lines if each == kind]


def restored_mesh():
    """Return a mesh whose store lacks one exclusion and has another again."""
    mesh = ready_mesh('web', 'web')
    put(mesh.store, 'op/evacuate/x', {})
    mesh.advance(2)
    copy = snapshot(mesh.store)
    delete(mesh.store, 'op/evacuate/x')
    put(mesh.store, 'op/evacuate/y', {})
    mesh.advance(2)
    restore(mesh.store, copy)
    return mesh


def test_restoration_is_logged_once_by_each_node(monkeypatch):
    mesh = restored_mesh()
    known = mesh.hosts[0].sidecar.mesh_state.revision
    lines = logged_lines(monkeypatch)
    mesh.advance(3)
    restored = fields_of(lines, 'store_restored')
    assert len(restored) == len(mesh.hosts)
    for fields in restored:
        assert (fields['era'], fields['known_era']) == (2, 1)
        assert fields['revision'] == mesh.store.revision
        assert fields['known'] == known.number
    for fields in fields_of(lines, 'news'):
        assert fields['era'] == 2


def test_records_that_are_kept_against_the_copy_are_logged(monkeypatch):
    lines = logged_lines(monkeypatch)
    mesh = restored_mesh()
    mesh.advance(15)
    number = len(mesh.hosts)
    for kind in ('deferred', 'settled'):
        keys = Counter(
            key for fields in fields_of(lines, kind) for key in fields['keys']
        )
        assert keys == {'op/evacuate/x': number, 'op/evacuate/y': number}


def test_first_read_of_the_store_is_no_restoration(monkeypatch):
    lines = logged_lines(monkeypatch)
    mesh = ready_mesh('web')
    mesh_state = mesh.hosts[0].sidecar.mesh_state
    log_restoration(mesh_state, NO_REVISION, 'store')
    log_restoration(mesh_state, rev(1, mesh.store.era), 'store')
    assert not fields_of(lines, 'store_restored')


def test_gauge_shows_the_era_of_the_store():
    mesh = restored_mesh()
    mesh.advance(3)
    text = get(mesh, mesh.hosts[0], '/metrics').body.decode()
    assert 'marjoramlead_store_era 2.0' in text
