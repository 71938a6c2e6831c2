"""What a node knows of client accounts with a quota, for operators."""

from typing import Final

from marjoramlead.generated.sidecar_status_types import AccountView
from marjoramlead.queue_statistics import TIME_CONSTANT_S
from marjoramlead.quota_exchange import QuotaExchange
from marjoramlead.quota_leases import AccountLeases

__all__ = ('account_views',)

# Accounts beyond this number are left out, those with few refusals first.
MAX_SHOWN: Final = 50


def account_views(exchange: QuotaExchange, now: float) -> list[AccountView]:
    """Describe the accounts that have sent requests to this node."""
    views = [
        _account_view(exchange, state, now)
        for state in exchange.leases.values()
    ]
    views.sort(key=lambda view: (-view['refused'], view['name']))
    return views[:MAX_SHOWN]


def _account_view(
    exchange: QuotaExchange, state: AccountLeases, now: float
) -> AccountView:
    bucket = exchange.holder.buckets.get(state.account.name)
    view: AccountView = {
        'name': state.account.name,
        'rate_per_s': state.account.rate_per_s,
        'burst': state.account.burst,
        'demand_per_s': state.demand.value_at(now) / TIME_CONSTANT_S,
        'leased': sum(
            lease.tokens for lease in state.leases if lease.expires_at > now
        ),
        'refused': state.refused,
    }
    if bucket is not None:
        view['held_tokens'] = bucket.tokens
    return view
