/*
 * The checks of LOST: requests that a process has read and that end without a complete response, around a planned stop
 * of the process or on connections that it had kept open.
 */
package fulmarshunt.soak

private const val LATE_SEND_MS = 3_000L
private const val AFTER_GRACE_MS = 1_000L

/** The reasons for which targets end runs that their caller has not ended. */
internal val brokenOffByTarget = setOf("lost", "reset", "exit")

/** The disturbances that end a target. */
private val endsOfTargets = setOf("SIGKILL", "CRASH")

/** A request that was sent whole and whose connection ended without a complete response. */
private class LostRequest(
    val send: SoakEvent,
    val sent: SoakEvent,
    val fail: SoakEvent,
    val arrivals: List<SoakEvent>,
    /** The last arrival that its target has not refused, and the end of the run there. */
    val lastTaken: SoakEvent?,
    val lastRunEnd: SoakEvent?,
) {
    val entry: String get() = send["entry"]

    fun reachedLimit() = fail.atNs >= send.atNs + send["limit_ms"].toLong() * NS_PER_MS
}

private fun CheckedRecords.lostRequests(): List<LostRequest> {
    val sentOf = events.filter { it.kind == SoakKind.SENT }.associateBy { it["request"] }
    val arrivalsOf = events.filter { it.kind == SoakKind.ARRIVE }.groupBy { it["request"] }
    val endsOf = events.filter { it.kind == SoakKind.END }.groupBy { it["request"] }
    val refusalsOf = events.filter { it.kind == SoakKind.REFUSE }.groupBy { it["request"] }
    return events.filter { it.kind == SoakKind.FAIL && it["by"] == "peer" }.mapNotNull { fail ->
        val request = fail["request"]
        val send = sendOf[request]
        val sent = sentOf[request]
        if (send == null || sent == null) return@mapNotNull null
        val arrivals = arrivalsOf[request].orEmpty().filter { it.atNs <= fail.atNs }
        val last = arrivals.lastOrNull { !wasRefused(it, arrivals, refusalsOf[request].orEmpty()) }
        val end = endsOf[request].orEmpty()
            .firstOrNull { last != null && it["target"] == last["target"] && it.atNs >= last.atNs }
        LostRequest(send, sent, fail, arrivals, last, end).takeIf { !it.reachedLimit() && !wasBrokenOff(it) }
    }
}

/** Whether the target of [arrival] refused it, before another one of [arrivals] came there. */
private fun wasRefused(arrival: SoakEvent, arrivals: List<SoakEvent>, refusals: List<SoakEvent>): Boolean {
    val nextAtNs = arrivals.firstOrNull { it["target"] == arrival["target"] && it.atNs > arrival.atNs }?.atNs
    return refusals.any {
        it["target"] == arrival["target"] && it.atNs >= arrival.atNs && it.atNs < (nextAtNs ?: Long.MAX_VALUE)
    }
}

/** Whether the last target of [lost] ended its run by itself or was killed during it. */
private fun CheckedRecords.wasBrokenOff(lost: LostRequest): Boolean {
    val last = lost.lastTaken ?: return false
    val end = lost.lastRunEnd
    if (end != null && end.atNs <= lost.fail.atNs && end["reason"] in brokenOffByTarget) return true
    return events.any {
        it.kind == SoakKind.DISTURBED && it["action"] in endsOfTargets && it["node"] == last["target"] &&
            it.atNs in last.atNs..lost.fail.atNs
    }
}

/** The requests lost around SIGTERM. */
internal fun CheckedRecords.lost(): List<SoakViolation> {
    val terminations = events.filter { it.kind == SoakKind.DISTURBED && it["action"] == "SIGTERM" }
    return lostRequests().mapNotNull { lost ->
        val limitNs = (bounds.graceMs + AFTER_GRACE_MS) * NS_PER_MS
        val termination = terminations.lastOrNull {
            it["node"] == lost.entry && it.atNs <= lost.fail.atNs && lost.fail.atNs <= it.atNs + limitNs
        }
        val isExcused = termination == null || !wasRead(lost) || wasStillAtWork(lost, termination.atNs) ||
            wasDisturbedUnplanned(lost.entry, lost.send.atNs, lost.fail.atNs) ||
            wasHeldUp(lost.entry, lost.send.atNs, lost.fail.atNs)
        if (isExcused) return@mapNotNull null
        SoakViolation(SoakRule.LOST, lost.send["request"], evidence(lost, termination.atNs))
    }
}

private fun CheckedRecords.wasRead(lost: LostRequest): Boolean {
    if (lost.arrivals.isNotEmpty()) return true
    val hadEnded = events.lastOrNull {
        it["node"] == lost.entry && it.atNs <= lost.send.atNs &&
            (it.kind == SoakKind.ENDED || it.kind == SoakKind.RECOVERED)
    }?.kind == SoakKind.ENDED
    return !hadEnded && lost.fail.atNs > lost.sent.atNs + bounds.lossSlackMs * NS_PER_MS
}

/** Whether a request sent soon after SIGTERM was cut while its target worked on it in the last sixth of the grace. */
private fun CheckedRecords.wasStillAtWork(lost: LostRequest, terminatedNs: Long): Boolean {
    val lastSixthNs = terminatedNs + bounds.graceMs * NS_PER_MS / 6 * 5
    return lost.send.atNs <= terminatedNs + LATE_SEND_MS * NS_PER_MS && lost.fail.atNs >= lastSixthNs &&
        runs[lost.send["request"]].orEmpty().any { it.beginNs <= lost.fail.atNs && it.endNs >= lastSixthNs }
}

/** The responses that ended early at undisturbed entry VMs although their targets were sound, SIGTERM or not. */
internal fun CheckedRecords.cutResponses(): Int = lostRequests().count {
    it.fail["status"] != "0" && it.arrivals.isNotEmpty() && hadSoundTarget(it) &&
        !wasDisturbedUnplanned(it.entry, it.send.atNs, it.fail.atNs) &&
        !wasHeldUp(it.entry, it.send.atNs, it.fail.atNs) && !wasMoveFailed(it)
}

/** Whether the answer to a last move of [lost] was not the proper one, so that it may have been impossible to go on. */
private fun CheckedRecords.wasMoveFailed(lost: LostRequest) = events.any {
    it.kind == SoakKind.MOVE && it["request"] == lost.send["request"] && it["answer"] != "PROPER"
}

/** The requests lost on kept connections, if they are more than the rule allows. */
internal fun CheckedRecords.lostOnKeptConnections(): List<SoakViolation> {
    val found = lostRequests().filter { lost ->
        lost.send["connection"] == "kept" && lost.fail["status"] == "0" && lost.arrivals.isNotEmpty() &&
            !wasDisturbed(lost.entry, lost.send.atNs, lost.fail.atNs) && hadSoundTarget(lost)
    }
    if (found.size <= bounds.lossesOnKeptConnections) return emptyList()
    return found.map { SoakViolation(SoakRule.LOST, it.send["request"], "count=${found.size} ${evidence(it, null)}") }
}

/** The faults that a run survives, so that its target counts as sound. */
private val harmlessFaults = setOf("MOVE", "MISPLACE")

private fun CheckedRecords.hadSoundTarget(lost: LostRequest): Boolean {
    val target = lost.arrivals.last()["target"]
    val fromNs = lost.send.atNs - bounds.contactMs * NS_PER_MS
    val injected = events.filter { it.kind == SoakKind.INJECTED && it["node"] == target && it.atNs <= lost.fail.atNs }
    // A fault that was withdrawn before the request does not count, so the state at the start of the span does.
    val atStart = injected.filter { it.atNs <= fromNs }.associateBy { it["action"].substringBefore(':') }.values
    val isInjected = (atStart + injected.filter { it.atNs > fromNs })
        .any { it["action"].substringBefore(':') !in harmlessFaults && it["action"].substringAfter(':').toDouble() > 0 }
    return !isInjected && !wasDisturbed(target, lost.send.atNs, lost.fail.atNs)
}

private fun CheckedRecords.evidence(lost: LostRequest, terminatedNs: Long?): String {
    val send = lost.send
    val fail = lost.fail
    return "kind=${send["kind"]} entry=${lost.entry} sigterm=${terminatedNs?.inS()} sent=${send.atNs.inS()}.." +
        "${lost.sent.atNs.inS()} ended=${fail.atNs.inS()} connection=${send["connection"]} " +
        "framing=${send["framing"]} bytes=${send["bytes"]} status=${fail["status"]} chunks=${fail["chunks"]} " +
        "problem=${fail["problem"]} arrivals=${lost.arrivals.joinToString(",") {
            "${it["target"]}@${it.atNs.inS()}"
        }} " +
        "runs=" + runs[send["request"]].orEmpty()
            .joinToString(",") { "${it.target}@${it.beginNs.inS()}..${it.endNs.inS()}" } +
        " end_reason=${lost.lastRunEnd?.get("reason")}"
}
