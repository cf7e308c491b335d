/*
 * What targets say of themselves in the heads of their responses: that they are leaving, that they want no requests for
 * a while, or few of them, that they are brittle, or how much load they have. It takes effect at this VM at once,
 * without control VMs.
 *
 * A statement counts for the target to which the request was sent only if the response can be its own: it names the
 * request, does not say that another target has the address, and is no success whose origin is not proved.
 */
package fulmarshunt.caller.relay

import fulmarshunt.process.LimitedLog
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.LimitStatement
import fulmarshunt.target.fleet.NOTHING_SAID_AGE_MS
import fulmarshunt.target.fleet.StatedLoad
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import kotlinx.coroutines.launch
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** Receives the statements of targets. Confined to the traffic thread. */
internal class TargetNotices(private val dependencies: RelayDependencies) {
    private val limitedLog = LimitedLog(LogManager.getLogger(TargetNotices::class.java))

    /** Receives [head], the head of a response to a request that was sent to [target] at [sentAtMs]. */
    fun receive(target: KnownTarget, head: HttpResponse, sentAtMs: Long) {
        val metadata = dependencies.adapter.readResponse(head.headers())
        if (!isOwn(head, metadata)) return
        if (metadata.isLeaving) {
            dependencies.connections.closeIdle(target.record.address)
            dependencies.control.scope.launch { dependencies.fleet.recordLeaving(target) }
        }
        val pauseMs = metadata.retryAfterMs?.takeIf { head.status() == HttpResponseStatus.SERVICE_UNAVAILABLE }
        if (pauseMs != null && pauseMs > 0) {
            dependencies.control.scope.launch { dependencies.fleet.recordPause(target, pauseMs) }
        }
        metadata.load?.fold({ rejectLoad(target, it) }, { receiveLoad(target, it) })
        receiveLimits(target, metadata, sentAtMs.takeIf { head.status().codeClass() == HttpStatusClass.SUCCESS })
    }

    /**
     * Receives the limits that a response named; one without a limit lifts it, unless it is a refusal or a failure.
     *
     * @param servedSentAtMs when the request of a success was sent, or null.
     */
    private fun receiveLimits(target: KnownTarget, metadata: ResponseMetadata, servedSentAtMs: Long?) {
        val isNamed = metadata.limitPerS != null || metadata.refusalsPerS != null
        val isLifted = servedSentAtMs != null && target.instance in dependencies.views.value.limited
        if (!isNamed && !isLifted) return
        val receivedAtMs = dependencies.clock.nowMs()
        dependencies.control.scope.launch {
            val nowMs = dependencies.clock.nowMs()

            // A response without a limit may have begun before a later one named it.
            val liftedAgeMs = servedSentAtMs?.let { nowMs - it }

            fun ageMsOrNull(limit: Double?): Long? = if (limit == null) liftedAgeMs else nowMs - receivedAtMs
            val statement = LimitStatement(
                target.instance,
                metadata.limitPerS,
                ageMsOrNull(metadata.limitPerS) ?: NOTHING_SAID_AGE_MS,
                metadata.refusalsPerS,
                ageMsOrNull(metadata.refusalsPerS),
            )
            dependencies.fleet.recordLimits(listOf(statement), isDirect = true)
        }
    }

    private fun receiveLoad(target: KnownTarget, load: StatedLoad) {
        dependencies.meters.loadStated(isUsable = true)
        val receivedAtMs = dependencies.clock.nowMs()
        dependencies.control.scope.launch { dependencies.fleet.evidence.recordLoad(target, load, receivedAtMs) }
    }

    private fun rejectLoad(target: KnownTarget, reason: String) {
        dependencies.meters.loadStated(isUsable = false)
        limitedLog.log(Level.WARN, "load of target not usable target=${target.id} reason=$reason")
    }

    private fun isOwn(head: HttpResponse, metadata: ResponseMetadata): Boolean {
        val isUnprovedSuccess = head.status().codeClass() == HttpStatusClass.SUCCESS && !metadata.isStamped
        return metadata.request != null && !isUnprovedSuccess &&
            head.status() != HttpResponseStatus.MISDIRECTED_REQUEST
    }
}
