"""What decided a refusal, for the log."""

from peridotbend.domain.verdicts import MayHaveRun, NotRun, Reason
from peridotbend.edge.activerequests import ActiveRequest
from peridotbend.edge.crashes import make_traits
from peridotbend.edge.parts import RelayDependencies
from peridotbend.edge.ports import EdgeCall


def describe_refusal(
    dependencies: RelayDependencies,
    call: EdgeCall,
    verdict: NotRun | MayHaveRun,
    request: ActiveRequest | None,
) -> dict[str, object]:
    """Returns the state that led to a refusal."""
    if verdict.reason is Reason.CLIENT_LIMIT:
        return _describe_allowance(dependencies, call)
    if verdict.reason is Reason.QUARANTINED:
        return _describe_crashes(dependencies, call, request)
    if request is None or not isinstance(verdict, NotRun):
        return {}
    targets = dependencies.targets.list_for(request.service)
    return {
        "service": request.service,
        "targets": len(targets),
        "slots": sum(target.slots for target in targets),
        "in_flight": sum(dependencies.occupancy.count(t.name) for t in targets),
        **dependencies.backlog.describe(request.service, request.route.name),
    }


def _describe_allowance(
    dependencies: RelayDependencies, call: EdgeCall
) -> dict[str, object]:
    account = _find_account_name(dependencies, call)
    if not account:
        return {}
    return {
        "account": account,
        **dependencies.allowances.describe(account),
    }


def _describe_crashes(
    dependencies: RelayDependencies,
    call: EdgeCall,
    request: ActiveRequest | None,
) -> dict[str, object]:
    """Returns which traits of a request crash targets."""
    if request is not None:
        traits = request.traits
    else:
        traits = make_traits(call, _find_account_name(dependencies, call))
    cause = dependencies.crashes.find_cause(traits)
    if cause is None:
        return {}
    return {
        "cause": [traits[trait] for trait in cause],
        "crashed_targets": dependencies.crashes.count_targets(cause),
    }


def _find_account_name(dependencies: RelayDependencies, call: EdgeCall) -> str:
    config = dependencies.holder.config
    account = config.find_account(call.key) if config else None
    return account.name if account else ""
