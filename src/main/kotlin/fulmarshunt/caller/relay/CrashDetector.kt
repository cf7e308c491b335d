/*
 * Finds out whether a target that lost a request has crashed: it then accepts no new connections. Connections break
 * before or after the listening socket is closed, so that a target that still accepts one is probed a second time. The
 * socket may also outlive the crash, as when a supervisor owns it; such a target does not respond to a health request,
 * and announces a new start when it is back. Until then it is only suspected to have crashed.
 */
package fulmarshunt.caller.relay

import arrow.core.getOrElse
import fulmarshunt.Address
import fulmarshunt.Fingerprint
import fulmarshunt.http.callBuffered
import fulmarshunt.target.fleet.CrashReport
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.KnownTarget
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.UNCONFIRMED_RETENTION_MS
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** The time between both probes; a crashed target takes seconds until it accepts connections again. */
private const val SECOND_PROBE_DELAY_MS = 300L

/** How long the response to a health request may take; a target with room responds within a few milliseconds. */
private const val HEALTH_LIMIT_MS = 300L

/** Whether a target that lost a request has crashed. */
private sealed interface ProbeResult {
    data object Alive : ProbeResult

    /** It accepts connections and does not respond. */
    data object Unresponsive : ProbeResult

    data class Dead(val reason: String) : ProbeResult
}

/** Reports crashes of targets with the causes in the requests that they ran. Confined to the traffic thread. */
internal class CrashDetector(private val dependencies: RelayDependencies) {
    private val log = LogManager.getLogger(CrashDetector::class.java)

    /**
     * Reports [target] if it has crashed, after it lost [job] when [events] events had been forwarded.
     *
     * @param isEndedByTarget whether the target has ended the connection; one that has not is not asked for its health.
     */
    fun reportIfCrashed(job: RelayJob, target: KnownTarget, events: Long, isEndedByTarget: Boolean) {
        val causes = job.causes.afterEvents(events)
        if (causes.isEmpty()) return
        val lostAtMs = dependencies.clock.nowMs()
        val isLeaving = dependencies.views.value.targets[target.id]?.record?.phase != TargetPhase.READY
        dependencies.background.launch {
            when (val result = probe(target.record.address, job.service.healthPath.takeIf { isEndedByTarget })) {
                ProbeResult.Alive ->
                    log.info("request lost, target accepts connections request={} target={}", job.id, target.id)
                is ProbeResult.Dead -> report(job, target, causes, lostAtMs, result.reason)
                // A target that ends after it has left is replaced by one that has started later.
                ProbeResult.Unresponsive -> if (!isLeaving) watchSuspect(job, target, causes, lostAtMs)
            }
        }
    }

    /** Reports that [target] may have crashed, and that it has if it starts anew. */
    private suspend fun watchSuspect(job: RelayJob, target: KnownTarget, causes: Set<Fingerprint>, lostAtMs: Long) {
        log.warn("request lost, target does not respond request={} target={}", job.id, target.id)
        record(job, target, causes, lostAtMs, isConfirmed = false)
        val limitMs = UNCONFIRMED_RETENTION_MS - (dependencies.clock.nowMs() - lostAtMs)
        withTimeoutOrNull(limitMs) {
            dependencies.views.first { it.hasStartedAnew(target) }
            report(job, target, causes, lostAtMs, "it has started anew")
        }
    }

    private suspend fun report(
        job: RelayJob,
        target: KnownTarget,
        causes: Set<Fingerprint>,
        lostAtMs: Long,
        reason: String,
    ) {
        log.warn(
            "target died request={} target={} fingerprint={} parts={} firstMs={} reason={}",
            job.id,
            target.id,
            job.causes.whole,
            job.request.metadata.generation?.promptParts.orEmpty(),
            job.firstEventAfterMs,
            reason,
        )
        record(job, target, causes, lostAtMs, isConfirmed = true)
    }

    private suspend fun record(
        job: RelayJob,
        target: KnownTarget,
        causes: Set<Fingerprint>,
        lostAtMs: Long,
        isConfirmed: Boolean,
    ) {
        val reports = causes.map {
            val beginning = if (it == job.causes.whole) job.causes.beginning else null
            CrashReport(it, target.id, target.record.startedAtMs, job.causes.depthOf(it), isConfirmed, beginning)
        }
        // Targets that crash together are found out at different times.
        val ageMs = dependencies.clock.nowMs() - lostAtMs
        dependencies.control.run { reports.forEach { dependencies.fleet.crashes.record(it, ageMs) } }
    }

    /** Probes [address] by two connections, and by a health request on the second one unless [healthPath] is null. */
    private suspend fun probe(address: Address, healthPath: String?): ProbeResult {
        refusalOrNull(address)?.let { return ProbeResult.Dead(it) }
        delay(SECOND_PROBE_DELAY_MS)
        // A kept connection does not show whether the target has crashed.
        val connection = dependencies.connections.openFresh(address).getOrElse { failure ->
            // A VM that is cut off cannot tell.
            return if (failure.isOwnCut) ProbeResult.Alive else ProbeResult.Dead(failure.reason)
        }
        return try {
            val isAlive = healthPath == null ||
                connection.callBuffered("GET", healthPath, "$address", ByteArray(0), HEALTH_LIMIT_MS).isRight()
            if (isAlive) ProbeResult.Alive else ProbeResult.Unresponsive
        } finally {
            connection.close()
        }
    }

    /** Returns why [address] accepts no connection, or null if it does. */
    private suspend fun refusalOrNull(address: Address): String? = dependencies.connections.openFresh(address).fold(
        { failure -> failure.reason.takeIf { !failure.isOwnCut } },
        {
            it.close()
            null
        },
    )
}

/** Returns whether a target of the same service has started later than [target] under its id or at its address. */
private fun FleetView.hasStartedAnew(target: KnownTarget): Boolean = targets.values.any {
    val isSame = it.record.id == target.id || it.record.address == target.record.address
    isSame && it.record.service == target.record.service && it.record.startedAtMs > target.record.startedAtMs
}
