/*
 * What targets say of themselves in the heads of their responses: that they are leaving, that they want no requests for
 * a while, or few of them. It takes effect at this VM at once, without control VMs.
 *
 * A statement counts for the target to which the request was sent only if the response can be its own: it names the
 * request, does not say that another target has the address, and is no success whose origin is not proved.
 */
package fulmarshunt.caller.relay

import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.LimitStatement
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import kotlinx.coroutines.launch

/** Receives the statements of targets. Confined to the traffic thread. */
internal class TargetNotices(private val dependencies: RelayDependencies) {
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
        val isServed = head.status().codeClass() == HttpStatusClass.SUCCESS
        if (metadata.limitPerS != null || isServed) receiveLimit(target, metadata.limitPerS, sentAtMs)
    }

    /** Receives the limit that a response named; one without a limit lifts it, unless it is a refusal or a failure. */
    private fun receiveLimit(target: KnownTarget, limitPerS: Double?, sentAtMs: Long) {
        if (limitPerS == null && target.instance !in dependencies.views.value.limited) return
        // A response without a limit may have begun before a later one named it.
        val saidAtMs = if (limitPerS == null) sentAtMs else dependencies.clock.nowMs()
        dependencies.control.scope.launch {
            val statement = LimitStatement(target.instance, limitPerS, dependencies.clock.nowMs() - saidAtMs)
            dependencies.fleet.recordLimits(listOf(statement), isDirect = true)
        }
    }

    private fun isOwn(head: HttpResponse, metadata: ResponseMetadata): Boolean {
        val isUnprovedSuccess = head.status().codeClass() == HttpStatusClass.SUCCESS && !metadata.isStamped
        return metadata.request != null && !isUnprovedSuccess &&
            head.status() != HttpResponseStatus.MISDIRECTED_REQUEST
    }
}
