/*
 * The HTTP calls of operators that start a roll-out and ask for its state.
 */
package fulmarshunt.platform

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import fulmarshunt.Clock
import fulmarshunt.ServiceId
import fulmarshunt.SoftwareVersion
import fulmarshunt.http.HttpCall
import fulmarshunt.http.HttpReply
import fulmarshunt.link.Links
import fulmarshunt.operator.rollout.Rollout
import fulmarshunt.operator.rollout.RolloutOrder
import fulmarshunt.operator.rollout.RolloutPhase
import fulmarshunt.operator.serving.OrderCaller
import fulmarshunt.operator.serving.ServingStateAccess
import fulmarshunt.operator.serving.StartResult
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.apache.logging.log4j.LogManager

/** The longest body of an order, which has three fields. */
private const val MAX_ORDER_BYTES = 4_096

/** The longest duration of a roll-out; longer ones are taken for errors. */
private const val MAX_DURATION_S = 604_800.0
private const val MS_PER_S = 1_000
private const val MAX_NAME_CHARACTERS = 128

private const val OK = 200
private const val BAD_REQUEST = 400
private const val NOT_FOUND = 404
private const val CONFLICT = 409
private const val UNAVAILABLE = 503

private val statePath = Regex("/api/rollouts/([^/]+)/get")

@Serializable
private class WireOrder(
    val service: String,
    val target: String,
    @SerialName("duration_s")
    val durationS: Double,
)

@Serializable
private class WireState(val state: String, val target: String)

/** Handles the calls about roll-outs. */
internal class RolloutApi(
    private val servingState: ServingStateAccess,
    private val links: Links,
    private val wallClock: Clock,
) {
    private val log = LogManager.getLogger(RolloutApi::class.java)

    /** Executes [call], or returns null if it is not about roll-outs. */
    suspend fun handleOrNull(call: HttpCall): HttpReply? {
        val state = statePath.matchEntire(call.path)
        return when {
            call.method == "POST" && call.path == "/api/rollouts/start" -> start(call)
            call.method == "GET" && state != null -> read(ServiceId(state.groupValues[1]))
            else -> null
        }
    }

    private suspend fun start(call: HttpCall): HttpReply {
        val order = decodeOrder(call.body).getOrElse { problem ->
            log.warn("roll-out refused problem={}", problem)
            return textReply(BAD_REQUEST, problem)
        }
        val caller = OrderCaller(call.unreadSinceMs, call.isCallerConnected)
        val result = servingState.startRollout(order, wallClock.nowMs(), caller, links)
        log.info(
            "order ended command=rollout service={} target={} durationMs={} result={}",
            order.service,
            order.target,
            order.durationMs,
            result,
        )
        return when (result) {
            StartResult.Done -> HttpReply(OK, "{}".encodeToByteArray())
            StartResult.InProgress -> textReply(CONFLICT, "another roll-out of ${order.service} runs")
            is StartResult.Unclear -> textReply(UNAVAILABLE, result.reason)
        }
    }

    private suspend fun read(service: ServiceId): HttpReply = servingState.read(links).fold(
        { textReply(UNAVAILABLE, it) },
        { snapshot ->
            val rollout = snapshot.rollouts[service] ?: return textReply(NOT_FOUND, "no roll-out of this service")
            HttpReply(OK, encodeState(rollout).encodeToByteArray())
        },
    )
}

private fun decodeOrder(body: ByteArray): Either<String, RolloutOrder> {
    if (body.size > MAX_ORDER_BYTES) return "the order has more than $MAX_ORDER_BYTES bytes".left()
    val wire = try {
        platformJson.decodeFromString(WireOrder.serializer(), body.decodeToString(throwOnInvalidSequence = true))
    } catch (e: Exception) {
        return "the order cannot be read: ${e.message?.lineSequence()?.first()}".left()
    }
    return when {
        !isName(wire.service) -> "the service is empty or too long".left()
        !isName(wire.target) -> "the target is empty or too long".left()
        !(wire.durationS > 0 && wire.durationS <= MAX_DURATION_S) -> "duration_s is not in 0..$MAX_DURATION_S".left()
        else -> RolloutOrder(
            ServiceId(wire.service),
            SoftwareVersion(wire.target),
            (wire.durationS * MS_PER_S).toLong(),
        ).right()
    }
}

private fun isName(text: String) = text.isNotBlank() && text.length <= MAX_NAME_CHARACTERS

private fun encodeState(rollout: Rollout): String {
    val state = when (rollout.phase) {
        RolloutPhase.RUNNING, RolloutPhase.MOVING -> "running"
        RolloutPhase.COMPLETED -> "completed"
        RolloutPhase.ROLLED_BACK -> "rolled_back"
    }
    return platformJson.encodeToString(WireState.serializer(), WireState(state, rollout.order.target.value))
}

private fun textReply(status: Int, reason: String) = HttpReply(status, reason.encodeToByteArray(), "text/plain")
