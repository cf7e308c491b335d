/*
 * The planned end of the process as its callers see it. New requests are still accepted until load balancers have
 * noticed it, and are refused from then on; those without a complete response are given up when the time is over.
 */
package fulmarshunt.caller

import kotlinx.coroutines.Job

/** The time after which the load balancer sends a retry to another entry VM than the one that is stopping. */
private const val OTHER_VM_RETRY_MS = 1_000L

/** Tells requests and their connections how far the shutdown of the process has come. */
public class GracefulStop {
    private val deadline = Job()

    /** Whether the process is about to end, so that callers should use other connections. */
    @Volatile
    public var hasBegun: Boolean = false
        private set

    @Volatile
    private var isAccepting = true

    /** Completes when requests without a complete response are given up. */
    public val givenUp: Job get() = deadline

    /** Begins the shutdown; requests are still accepted. */
    public fun begin() {
        hasBegun = true
    }

    /** Refuses requests from now on. */
    public fun refuseRequests() {
        hasBegun = true
        isAccepting = false
    }

    /** Ends requests without a complete response; their callers are told whether they may have run. */
    public fun giveUpRequests() {
        deadline.complete()
    }

    /** Returns the refusal of a request that arrives now, or null if it is accepted. */
    public fun refusalOrNull(): RequestProblem? = if (isAccepting) null else stopping()
}

internal fun stopping(): RequestProblem = RequestProblem(
    ProblemKind.UNAVAILABLE,
    RunState.NOT_RUN,
    "this entry VM is shutting down",
    OTHER_VM_RETRY_MS,
)
