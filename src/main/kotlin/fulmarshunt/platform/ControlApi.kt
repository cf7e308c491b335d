/*
 * The HTTP calls of operators and targets to a control VM.
 */
package fulmarshunt.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import fulmarshunt.Clock
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.TargetId
import fulmarshunt.entry.watch.WatchService
import fulmarshunt.http.HttpCall
import fulmarshunt.http.HttpReply
import fulmarshunt.link.Links
import fulmarshunt.monotonicClock
import fulmarshunt.operator.serving.ConfigurationDocument
import fulmarshunt.operator.serving.OrderCaller
import fulmarshunt.operator.serving.ServingCommand
import fulmarshunt.operator.serving.ServingStateAccess
import fulmarshunt.target.fleet.problemOrNull
import io.micrometer.core.instrument.MeterRegistry
import org.apache.logging.log4j.LogManager

/** The greatest size of the body of a call; a replicated command must fit into one message between voters. */
internal const val MAX_CALL_BYTES: Int = 1_000_000

/** The maximum length of the reason of a refusal, which may quote the call. */
private const val MAX_REASON_CHARACTERS = 300

private const val OK = 200
private const val BAD_REQUEST = 400
private const val NOT_FOUND = 404
private const val UNAVAILABLE = 503

private val heartbeatPath = Regex("/api/instances/([^/]+)/heartbeat")
private val deregisterPath = Regex("/api/instances/([^/]+)/deregister")
private val drainPath = Regex("/api/evacuation/([^/]+)/(start|end)")

/** Handles calls of operators and targets. */
internal class ControlApi(
    private val servingState: ServingStateAccess,
    private val watches: WatchService,
    private val links: Links,
    private val meters: MeterRegistry,
    private val wallClock: Clock,
    private val clock: Clock = monotonicClock(),
    /** Null if the deployment has no roll-outs. */
    private val rollouts: RolloutApi? = null,
) {
    private val log = LogManager.getLogger(ControlApi::class.java)

    /** Executes [call] and returns the response. */
    suspend fun handle(call: HttpCall): HttpReply {
        val heartbeat = heartbeatPath.matchEntire(call.path)
        val deregistration = deregisterPath.matchEntire(call.path)
        val drain = drainPath.matchEntire(call.path)
        val reply = when {
            call.method == "POST" && heartbeat != null -> announce(TargetId(heartbeat.groupValues[1]), call.body)
            call.method == "POST" && deregistration != null -> deregister(
                TargetId(deregistration.groupValues[1]),
                call,
            )
            call.method == "POST" && call.path == "/api/config/replace" -> replace(call)
            call.method == "GET" && call.path == "/api/config/get" -> read()
            call.method == "POST" && drain != null ->
                drain(call, FailureDomainId(drain.groupValues[1]), drain.groupValues[2] == "start")
            else -> rollouts?.handleOrNull(call) ?: reply(NOT_FOUND, "no such call")
        }
        meters.counter("fulmarshunt_control_calls", "status", reply.status.toString()).increment()
        return reply
    }

    private suspend fun announce(id: TargetId, body: ByteArray): HttpReply =
        decodeAnnouncement(id, body, wallClock.nowMs()).fold(
            { refuseAnnouncement(id, it) },
            { record -> acknowledge(id, "${record.phase}", watches.announce(record)) },
        )

    private suspend fun deregister(id: TargetId, call: HttpCall): HttpReply {
        val startedAtMs = (id.problemOrNull()?.left() ?: Unit.right())
            .flatMap { decodeDeregistration(call.body, wallClock.nowMs()) }
        return startedAtMs.fold(
            { refuseAnnouncement(id, it) },
            {
                // Without a start time, a late one would end a target that has started again under its id.
                if (it == null && (servingState.isExpired(call.unreadSinceMs) || !call.isCallerConnected())) {
                    leaveUnacknowledged(id, "left", "the call may have been given up")
                } else {
                    acknowledge(id, "left", watches.leave(id, it))
                }
            },
        )
    }

    private fun refuseAnnouncement(id: TargetId, problem: String): HttpReply {
        val reason = problem.take(MAX_REASON_CHARACTERS)
        log.warn("announcement refused id={} problem={}", id.value.take(MAX_REASON_CHARACTERS), reason)
        return reply(BAD_REQUEST, reason)
    }

    private fun acknowledge(id: TargetId, what: String, isAcknowledged: Boolean): HttpReply {
        if (isAcknowledged) return reply(OK, "")
        return leaveUnacknowledged(id, what, "no contact to other control VMs")
    }

    private fun leaveUnacknowledged(id: TargetId, what: String, reason: String): HttpReply {
        log.warn("announcement not acknowledged id={} what={} reason={}", id, what, reason)
        return reply(UNAVAILABLE, reason)
    }

    private suspend fun replace(call: HttpCall): HttpReply = decodeConfiguration(call.body).fold(
        { problem ->
            log.warn("configuration refused bytes={} problem={}", call.body.size, problem)
            reply(BAD_REQUEST, problem)
        },
        { configuration ->
            val command = ServingCommand.Replace(ConfigurationDocument(configuration.version, call.body))
            submit(call, "replace:${configuration.version}", command)
        },
    )

    private suspend fun drain(call: HttpCall, domain: FailureDomainId, isDrained: Boolean): HttpReply {
        val caller = OrderCaller(call.unreadSinceMs, call.isCallerConnected)
        val outcome = servingState.setDrained(domain, isDrained, caller, links)
        val basedOn = outcome.basedOn
        return end(call, "drained:$domain=$isDrained", outcome.isCallerConnected, basedOn, outcome.result)
    }

    private suspend fun submit(call: HttpCall, what: String, command: ServingCommand): HttpReply {
        val revision = servingState.appliedRevision
        val isConnected = call.isCallerConnected()
        return end(call, what, isConnected, revision, servingState.submit(command, links))
    }

    private fun end(
        call: HttpCall,
        what: String,
        isConnected: Boolean,
        basedOn: LogIndex?,
        result: Either<String, Unit>,
    ): HttpReply {
        log.info(
            "order ended command={} heldMs={} unreadMaxMs={} callerConnected={} basedOn={} result={}",
            what,
            clock.nowMs() - call.readAtMs,
            call.readAtMs - call.unreadSinceMs,
            isConnected,
            basedOn,
            result.fold({ "unclear: $it" }, { "done" }),
        )
        return result.fold({ reply(UNAVAILABLE, it) }, { reply(OK, "") })
    }

    private suspend fun read(): HttpReply {
        val document = when (val result = servingState.read(links)) {
            is Either.Left -> return reply(UNAVAILABLE, result.value)
            is Either.Right -> result.value.document
        }
        return if (document == null) reply(NOT_FOUND, "no configuration yet") else HttpReply(OK, document.bytes)
    }
}

private fun reply(status: Int, reason: String): HttpReply = if (reason.isEmpty()) {
    HttpReply(status, "{}".encodeToByteArray())
} else {
    HttpReply(status, reason.encodeToByteArray(), "text/plain")
}
