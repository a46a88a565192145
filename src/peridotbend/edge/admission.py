"""Decides whether a call becomes a request: route, account, allowance."""

from peridotbend.domain.rendezvous import choose_weighted
from peridotbend.domain.verdicts import NotRun, Reason
from peridotbend.edge.activerequests import ActiveRequest
from peridotbend.edge.config import Account, Route
from peridotbend.edge.crashes import make_traits
from peridotbend.edge.events import EventSplitter
from peridotbend.edge.parts import RelayDependencies
from peridotbend.edge.ports import EdgeCall

# A new process receives the configuration within about 100 ms, if the store or
# a peer is reachable.
NO_CONFIG_RETRY_MS = 500
# Long, because retrying a request that crashes its targets does not help; the
# caller should change the request.
QUARANTINED_RETRY_MS = 60_000
QUARANTINED = NotRun(Reason.QUARANTINED, QUARANTINED_RETRY_MS)


class Admission:
    """Admits calls; what it refuses has not run."""

    def __init__(self, dependencies: RelayDependencies):
        self._dependencies = dependencies

    def admit(self, call: EdgeCall) -> ActiveRequest | NotRun:
        """Returns the admitted request, or a refusal."""
        config = self._dependencies.holder.config
        if config is None:
            return NotRun(Reason.NO_TEXT, NO_CONFIG_RETRY_MS)
        route = config.find_route(call.host, call.path.partition("?")[0])
        if route is None:
            return NotRun(Reason.UNKNOWN_KIND)
        account = None
        if config.accounts and not route.is_public:
            account = config.find_account(call.key)
            if account is None:
                return NotRun(Reason.UNKNOWN_KEY)
        account_name = account.name if account else ""
        traits = make_traits(call, account_name)
        if self._dependencies.crashes.find_cause(traits) is not None:
            return QUARANTINED
        tokens = 0.0
        if account is not None:
            tokens = _count_tokens(call, account)
            wait_ms = self._dependencies.allowances.try_take(
                account_name, tokens, route.is_generation
            )
            if wait_ms is not None:
                return NotRun(Reason.CLIENT_LIMIT, wait_ms)
        service = self._choose_service(route, call)
        self._dependencies.budget.record_request(service)
        time_limit_ms = route.timeout_ms
        if call.deadline_ms is not None:
            time_limit_ms = min(time_limit_ms, call.deadline_ms)
        now_ms = self._dependencies.clock.now_ms()
        return ActiveRequest(
            call,
            route,
            service,
            account,
            traits,
            tokens,
            now_ms,
            now_ms + time_limit_ms,
            events=EventSplitter(call.last_event_id),
        )

    def _choose_service(self, route: Route, call: EdgeCall) -> str:
        if len(route.services) == 1:
            return route.services[0].name
        if route.is_resumable_stream:
            # What takes the stream up has to come to the same service.
            return choose_weighted(
                call.resumes or call.attempt,
                [(share.name, share.weight) for share in route.services],
            )
        weights = [share.weight for share in route.services]
        return self._dependencies.rng.choices(route.services, weights)[0].name


def _count_tokens(call: EdgeCall, account: Account) -> float:
    if call.prompt_tokens is None:
        return account.default_tokens
    return float(call.prompt_tokens + call.max_output_tokens)
