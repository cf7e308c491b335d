/*
 * The requests and repeats of one entry VM as its relay reports them. Repeats are logged when they are sent, refused
 * ones with the share that they were refused by. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.Clock
import fulmarshunt.ServiceId
import fulmarshunt.process.LimitedLog
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** Takes repeats from the budget. */
public class Repeats internal constructor(
    private val budget: RepeatBudget,
    private val clock: Clock,
    /** Returns the number of entry VMs that share the budget. */
    private val entryVms: () -> Int,
) {
    private val log = LogManager.getLogger(Repeats::class.java)
    private val refusalLogs = mutableMapOf<ServiceId, LimitedLog>()

    /** Counts a request for [service] towards the budget. */
    public fun recordRequest(service: ServiceId): Unit = budget.recordRequest(service, clock.nowMs())

    /**
     * Takes a repeat from the budget of [service], unless it is used up. A granted one is reserved until [recordSent]
     * or [release].
     */
    public fun tryTake(service: ServiceId): RepeatDecision =
        budget.tryTake(service, entryVms(), clock.nowMs()).also { logIfRefused(service, it) }

    /** Records that a repeat or continuation that was granted is sent now. */
    public fun recordSent(service: ServiceId) {
        val sent = budget.recordSent(service, clock.nowMs())
        log.info("repeat sent service={} sent={} entryVms={}", service, sent, entryVms())
    }

    /** Returns a repeat or continuation that was granted and that is not sent. */
    public fun release(service: ServiceId): Unit = budget.release(service)

    /** Takes a continuation of a run from the budget of [service]; see [tryTake]. */
    internal fun tryContinue(service: ServiceId, isFirst: Boolean): RepeatDecision =
        budget.tryContinue(service, entryVms(), isFirst, clock.nowMs()).also { logIfRefused(service, it) }

    private fun logIfRefused(service: ServiceId, decision: RepeatDecision) {
        if (decision.isTaken) return
        refusalLogs.getOrPut(service) { LimitedLog(log, clock = clock) }.log(
            Level.WARN,
            "repeat refused service=$service used=${decision.used} bound=${decision.bound} " +
                "requests=${decision.requests} entryVms=${decision.entryVms}",
        )
    }
}
