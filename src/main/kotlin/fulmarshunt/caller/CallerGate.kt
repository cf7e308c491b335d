/*
 * The checks that every request passes before a placement is requested: the limits of its client account, the existence
 * of its service and the quarantine. [CallerGate] applies the limits on the control thread; the checks themselves are
 * pure functions.
 */
package fulmarshunt.caller

import fulmarshunt.ClientAccountId
import fulmarshunt.Clock
import fulmarshunt.Fingerprint
import fulmarshunt.ServiceId
import fulmarshunt.entry.SharedState
import fulmarshunt.operator.ServiceKind
import fulmarshunt.process.ControlThread
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext

/** The checks that every request passes. */
public class CallerGate(
    public val enter: suspend (ClientAccountId) -> RequestProblem?,
    public val leave: suspend (ClientAccountId) -> Unit,
    public val check: (ServiceId, ServiceKind, Fingerprint) -> RequestProblem?,
    /** Takes a retry from the budgets of the client account; returns false if none remains. */
    public val takeRetry: suspend (ClientAccountId) -> Boolean,
    public val reportSuccess: suspend (ClientAccountId) -> Unit,
)

/**
 * Returns a gate with limits and budgets on [control].
 *
 * @param capacity the number of requests that may be queued or running at a time.
 */
public fun callerGate(control: ControlThread, clock: Clock, state: () -> SharedState, capacity: Int): CallerGate {
    val limits = AccountLimits(capacity)
    val budgets = RetryBudgets()
    return CallerGate(
        enter = { id ->
            val account = state().configuration.accounts[id]
            if (account == null) {
                RequestProblem(ProblemKind.UNAUTHENTICATED, RunState.NOT_RUN, "no account $id")
            } else {
                control.run { limits.enter(account, clock.nowMs()) }
            }
        },
        leave = { id -> withContext(NonCancellable) { control.run { limits.leave(id) } } },
        check = { service, kind, fingerprint -> state().problemOrNull(service, kind, fingerprint) },
        takeRetry = { id -> control.run { budgets.tryTake(id) } },
        reportSuccess = { id -> control.run { budgets.earn(id) } },
    )
}

/** Returns why a request with [fingerprint] cannot run at [service], or null. */
public fun SharedState.problemOrNull(service: ServiceId, kind: ServiceKind, fingerprint: Fingerprint): RequestProblem? =
    when {
        configuration.services[service]?.kind != kind ->
            RequestProblem(ProblemKind.UNKNOWN_SERVICE, RunState.NOT_RUN, "there is no service \"$service\" here")
        fingerprint in quarantine ->
            RequestProblem(ProblemKind.QUARANTINED, RunState.NOT_RUN, "its content is in quarantine")
        else -> null
    }
