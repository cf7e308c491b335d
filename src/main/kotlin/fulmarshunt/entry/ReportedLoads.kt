/*
 * Orders to engines to load a service, with a log line for each new order and a counter of the answers.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.target.EngineLoad
import fulmarshunt.target.IssueLoad
import fulmarshunt.target.OrderReply
import io.micrometer.core.instrument.MeterRegistry
import org.apache.logging.log4j.LogManager

private val log = LogManager.getLogger("fulmarshunt.entry.ReportedLoads")

/** Returns a function that passes an order to [send], logs it and counts the answer in [registry]. */
internal fun reportedLoads(
    send: suspend (Address, EngineLoad) -> OrderReply,
    registry: MeterRegistry,
): suspend (IssueLoad) -> Unit = { issued ->
    val load = issued.load
    if (!issued.isRepeat) {
        log.info(
            "Ordering engine {} to load {} in place of {} with fencing number {}",
            issued.target,
            load.service,
            load.replaces ?: "nothing",
            load.fence,
        )
    }
    val answer = send(issued.address, load)
    val label = when (answer) {
        is OrderReply.Accepted -> "taken"
        is OrderReply.Refused -> "refused"
        is OrderReply.NoReply -> "unanswered"
    }
    registry.counter("fulmarshunt.load.orders", "answer", label).increment()
    if (answer is OrderReply.Refused) {
        log.warn("Engine {} refused to load {}: {}", issued.target, load.service, answer.reason)
    }
}
