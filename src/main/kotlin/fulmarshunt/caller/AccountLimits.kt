/*
 * The limits of client accounts at one entry VM: a sustained request rate with a burst of one second, and the number of
 * requests that are queued or running, for each account and in total. Confined to the control thread.
 */
package fulmarshunt.caller

import fulmarshunt.ClientAccountId
import fulmarshunt.operator.ClientAccount
import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

private const val MS_PER_SECOND = 1_000.0
private const val CONCURRENCY_RETRY_MS = 1_000L

/** Counts the requests of each client account, and admits at most [capacity] of all accounts at a time. */
public class AccountLimits(private val capacity: Int) {
    private class Usage(var tokens: Double, var refilledAtMs: Long) {
        var running = 0
    }

    private val usages = mutableMapOf<ClientAccountId, Usage>()
    private var running = 0

    /** Admits one request of [account], whose end is reported by [leave], or returns why it is refused. */
    public fun enter(account: ClientAccount, nowMs: Long): RequestProblem? {
        val rate = account.maxRequestsPerSecond
        val burst = max(1.0, rate)
        val usage = usages.getOrPut(account.id) { Usage(burst, nowMs) }
        usage.tokens = min(burst, usage.tokens + (nowMs - usage.refilledAtMs) * rate / MS_PER_SECOND)
        usage.refilledAtMs = nowMs
        if (usage.running >= account.maxConcurrentRequests) {
            return limited("${usage.running} requests are queued or running", CONCURRENCY_RETRY_MS)
        }
        if (running >= capacity) {
            val detail = "$running requests are open at this entry VM, the maximum for its memory"
            return RequestProblem(ProblemKind.OVERLOADED, RunState.NOT_RUN, detail, CONCURRENCY_RETRY_MS)
        }
        if (usage.tokens < 1) {
            val waitMs = if (rate > 0) ceil((1 - usage.tokens) * MS_PER_SECOND / rate).toLong() else null
            return limited("more than $rate requests per second", waitMs)
        }
        usage.tokens -= 1
        usage.running++
        running++
        return null
    }

    /** Ends one request of [account]. */
    public fun leave(account: ClientAccountId) {
        val usage = checkNotNull(usages[account]) { "client account $account has no request" }
        check(usage.running > 0) { "client account $account has no request" }
        usage.running--
        running--
    }

    private fun limited(detail: String, retryAfterMs: Long?): RequestProblem =
        RequestProblem(ProblemKind.RATE_LIMITED, RunState.NOT_RUN, detail, retryAfterMs)
}
