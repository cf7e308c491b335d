/*
 * Decides from the records of clients, targets, operator and fault injector which rules of the platform were broken. It
 * reads no log of the programs.
 */
package fulmarshunt.soak

internal const val NS_PER_MS = 1_000_000L

/** The rules that the soak checks. */
internal enum class SoakRule { TWICE, BUDGET, EVAC, REFUSED, MIXED, UNASKED, LOST, LIMIT, ORDER, RECOVER, CONFIG }

/** A broken rule with its evidence. */
internal data class SoakViolation(val rule: SoakRule, val request: String, val evidence: String) {
    override fun toString(): String = "$rule request=$request $evidence"
}

/** The bounds of the rules. */
internal data class SoakBounds(
    val contactMs: Long = 3_000,
    val evacuateMs: Long = 5_000,
    val maxStretchMs: Long = 5_000,
    val overlapMs: Long = 400,
    val budgetWindowMs: Long = 10_000,
    val repeatRatio: Double = 0.2,
    val repeatAllowance: Int = 56,
    val graceMs: Long = GRACE_MS,
    val lossSlackMs: Long = 200,
    val lossesOnKeptConnections: Int = 3,
)

/** Returns the violations in [events], which are in the order of time. */
internal fun checkSoak(events: List<SoakEvent>, bounds: SoakBounds = SoakBounds()): List<SoakViolation> {
    val checked = CheckedRecords(events, bounds)
    return checked.twice() + checked.budget() + checked.evacuations() + checked.refused() + checked.mixed() +
        checked.unasked() + checked.lost() + checked.lostOnKeptConnections() + checked.brokenPauses() +
        checked.attemptsOverLimit() + checked.longDeadlines() + checked.crashRetries() + checked.limits() +
        checked.wrongOrder() + checked.unservedCuts() + checked.lateConfigurations()
}

/** A span of time; an end that was not recorded is the greatest value. */
internal data class Span(val fromNs: Long, val toNs: Long) {
    fun overlaps(fromNs: Long, toNs: Long) = this.fromNs <= toNs && fromNs <= this.toNs
}

internal class TargetRun(val target: String, val beginNs: Long, val endNs: Long, val source: String)

/** The records of one run, prepared for the checks. */
internal class CheckedRecords(val events: List<SoakEvent>, val bounds: SoakBounds) {
    private val originNs = events.firstOrNull()?.atNs ?: 0
    private val sends = events.filter { it.kind == SoakKind.SEND }
    val sendOf = sends.associateBy { it["request"] }
    private val killedAtNs = events.filter { it.kind == SoakKind.KILLED }.groupBy({ it["node"] }, { it.atNs })
    private val disturbances = disturbances { true }
    private val unplannedDisturbances = disturbances { it["action"] != "SIGTERM" }
    private val coreDisturbances =
        disturbances.filterKeys { it.startsWith("control-") }.values.flatten()
    private val cuts = cuts()
    val runs = runs()

    /** The spans in which each process was disturbed, without the time that it then needs to be in touch again. */
    private fun disturbances(isCounted: (SoakEvent) -> Boolean): Map<String, List<Span>> {
        val spans = HashMap<String, MutableList<Span>>()
        val open = HashMap<String, Long>()
        for (event in events) {
            val node = event["node"]
            when (event.kind) {
                SoakKind.DISTURBED, SoakKind.KILLED -> if (isCounted(event)) open.putIfAbsent(node, event.atNs)
                SoakKind.RECOVERED -> {
                    open.remove(node)?.let { spans.getOrPut(node) { mutableListOf() } += Span(it, event.atNs) }
                }
                else -> {}
            }
        }
        open.forEach { (node, fromNs) -> spans.getOrPut(node) { mutableListOf() } += Span(fromNs, Long.MAX_VALUE) }
        return spans
    }

    /** The spans in which each entry VM was cut from all targets. */
    private fun cuts(): Map<String, List<Span>> {
        val joins = events.filter { it.kind == SoakKind.JOINED }.associateBy { it["cut"] to it["node"] }
        return events.filter { it.kind == SoakKind.CUT }.groupBy({ it["node"] }) {
            Span(it.atNs, joins[it["cut"] to it["node"]]?.atNs ?: Long.MAX_VALUE)
        }
    }

    private fun runs(): Map<String, List<TargetRun>> {
        val ends = events.filter { it.kind == SoakKind.END }.groupBy { it["request"] to it["target"] }
        return events.filter { it.kind == SoakKind.BEGIN }.groupBy({ it["request"] }) { begin ->
            val endNs = ends[begin["request"] to begin["target"]]?.firstOrNull { it.atNs >= begin.atNs }?.atNs
            val killNs = killedAtNs[begin["target"]]?.firstOrNull { it >= begin.atNs }
            TargetRun(
                begin["target"],
                begin.atNs,
                minOf(endNs ?: Long.MAX_VALUE, killNs ?: Long.MAX_VALUE),
                begin["from"],
            )
        }
    }

    fun Long.inS() = if (this == Long.MAX_VALUE) "never" else "%.3f".format((this - originNs) / 1e9)

    /** Whether [node] was disturbed at any time from contactMs before [fromNs] until [toNs]. */
    fun wasDisturbed(node: String, fromNs: Long, toNs: Long): Boolean =
        disturbances[node].orEmpty().any { it.overlaps(fromNs - bounds.contactMs * NS_PER_MS, toNs) }

    /** Whether [node] was disturbed at any time from [fromNs] to [toNs]. */
    fun wasDisturbedWithin(node: String, fromNs: Long, toNs: Long): Boolean =
        disturbances[node].orEmpty().any { it.overlaps(fromNs, toNs) }

    /** Whether the core was not stable at [atNs]. */
    fun wasCoreDisturbed(atNs: Long): Boolean =
        coreDisturbances.any { it.overlaps(atNs - bounds.contactMs * NS_PER_MS, atNs) }

    /**
     * Whether bytes between [entry] and targets from [fromNs] to [toNs] may have been held up by a cut. A sender
     * doubles the time after which it sends again, so that they may arrive as long after the cut as it lasted.
     */
    fun wasHeldUp(entry: String, fromNs: Long, toNs: Long): Boolean = cuts[entry].orEmpty().any { cut ->
        val lateNs = maxOf(bounds.contactMs * NS_PER_MS, cut.toNs - cut.fromNs)
        cut.overlaps(fromNs - lateNs, toNs)
    }

    /** Returns the entry VM to which the request of [event] was sent, or an empty text. */
    fun entryOf(event: SoakEvent): String = sendOf[event["request"]]?.get("entry").orEmpty()

    /** As [wasDisturbed], without the time after SIGTERM. */
    fun wasDisturbedUnplanned(node: String, fromNs: Long, toNs: Long): Boolean =
        unplannedDisturbances[node].orEmpty().any { it.overlaps(fromNs - bounds.contactMs * NS_PER_MS, toNs) }

    private fun isSafe(request: String) = sendOf[request]?.get("kind") == "safe"

    fun twice(): List<SoakViolation> = runs.filterKeys { !isSafe(it) }.flatMap { (request, all) ->
        val ordered = all.sortedBy { it.beginNs }
        ordered.flatMapIndexed { position, next ->
            ordered.take(position).mapNotNull { former -> twiceOrNull(request, former, next) }
        }
    }

    private fun twiceOrNull(request: String, former: TargetRun, next: TargetRun): SoakViolation? {
        val limitNs = next.beginNs + bounds.overlapMs * NS_PER_MS
        val entry = sendOf[request]?.get("entry").orEmpty()
        if (next.source.isNotEmpty()) {
            if (former.endNs <= limitNs) return null
            if (wasDisturbed(entry, next.beginNs, limitNs) || wasDisturbed(former.target, next.beginNs, limitNs)) {
                return null
            }
            if (wasHeldUp(entry, next.beginNs, limitNs)) return null
        }
        val evidence = "entry=$entry former=${former.target} begin=${former.beginNs.inS()} " +
            "end=${former.endNs.inS()} next=${next.target} begin=${next.beginNs.inS()} end=${next.endNs.inS()} " +
            "kv_from=${next.source.ifEmpty { "none" }}"
        return SoakViolation(SoakRule.TWICE, request, evidence)
    }

    fun budget(): List<SoakViolation> {
        val sentNs = sends.filter { it["connection"] != "none" }.groupBy({ it["service"] }, { it.atNs })
        return events.filter {
            it.kind == SoakKind.ARRIVE
        }.groupBy { it["service"] }.mapNotNull { (service, arrivals) ->
            val seen = HashSet<String>()
            val repeats = arrivals.filter { !seen.add(it["request"]) }
            worstWindowOrNull(service, repeats, sentNs[service].orEmpty())
        }
    }

    /** Returns the window with the greatest excess; neighbouring windows show the same cause. */
    private fun worstWindowOrNull(service: String, repeats: List<SoakEvent>, sentNs: List<Long>): SoakViolation? {
        val windowNs = bounds.budgetWindowMs * NS_PER_MS
        var first = 0
        var worst: Pair<Double, SoakViolation>? = null
        repeats.forEachIndexed { last, repeat ->
            while (repeats[first].atNs <= repeat.atNs - windowNs) first++
            val count = last - first + 1
            val requests = listOf(0L, windowNs / 2, windowNs)
                .maxOf { back -> sentNs.countIn(repeat.atNs - back - windowNs, repeat.atNs - back) }
            val allowed = bounds.repeatRatio * requests + bounds.repeatAllowance
            if (count > allowed && count - allowed > (worst?.first ?: 0.0)) {
                val evidence = "service=$service window_end=${repeat.atNs.inS()} repeats=$count requests=$requests " +
                    "allowed=%.1f by_entry=%s by_target=%s".format(
                        allowed,
                        repeats.subList(first, last + 1).groupingBy { sendOf[it["request"]]?.get("entry") }.eachCount(),
                        repeats.subList(first, last + 1).groupingBy { it["target"] }.eachCount(),
                    )
                worst = count - allowed to SoakViolation(SoakRule.BUDGET, repeat["request"], evidence)
            }
        }
        return worst?.second
    }

    private fun List<Long>.countIn(afterNs: Long, untilNs: Long) = countUntil(untilNs) - countUntil(afterNs)

    private fun List<Long>.countUntil(untilNs: Long): Int {
        val found = binarySearch(untilNs)
        return if (found >= 0) found + 1 else -found - 1
    }

    fun evacuations(): List<SoakViolation> {
        val arrivals = events.filter { it.kind == SoakKind.ARRIVE && it["misdirected"] != "true" }
        return evacuationSpans().flatMap { (zone, span) ->
            arrivals.filter { it["zone"] == zone && it.atNs > dueNs(span.fromNs) && it.atNs < span.toNs }
                .mapNotNull { arrivalInTouchOrNull(it, zone, span) }
        }
    }

    private fun arrivalInTouchOrNull(arrival: SoakEvent, zone: String, span: Span): SoakViolation? {
        val entry = sendOf[arrival["request"]]?.get("entry").orEmpty()
        if (wasDisturbed(entry, arrival.atNs, arrival.atNs) || wasHeldUp(entry, arrival.atNs, arrival.atNs)) return null
        val evidence = "zone=$zone acknowledged=${span.fromNs.inS()} arrived=${arrival.atNs.inS()} " +
            "ended=${span.toNs.inS()} entry=$entry target=${arrival["target"]} kv_from=${arrival["from"]}"
        return SoakViolation(SoakRule.EVAC, arrival["request"], evidence)
    }

    /** Returns when an evacuation acknowledged at [acknowledgedNs] has to be in effect. */
    private fun dueNs(acknowledgedNs: Long): Long {
        val contactNs = bounds.contactMs * NS_PER_MS
        val dueNs = acknowledgedNs + bounds.evacuateMs * NS_PER_MS
        val wasUnstable = coreDisturbances.any { it.overlaps(acknowledgedNs - contactNs, dueNs) }
        return if (wasUnstable) dueNs + bounds.maxStretchMs * NS_PER_MS else dueNs
    }

    /** The spans from the acknowledgement of each evacuation until the operator orders its end. */
    private fun evacuationSpans(): List<Pair<String, Span>> {
        val spans = mutableListOf<Pair<String, Span>>()
        val open = HashMap<String, Long>()
        for (event in events) {
            val words = event["path"].split('/').filter { it.isNotEmpty() }
            if (words.size != 4 || words[1] != "evacuation") continue
            val zone = words[2]
            if (event.kind == SoakKind.ACKNOWLEDGED && words[3] == "start") open.putIfAbsent(zone, event.atNs)
            if (event.kind == SoakKind.ORDER && words[3] == "end") {
                open.remove(zone)?.let { spans += zone to Span(it, event.atNs) }
            }
        }
        return spans + open.map { (zone, fromNs) -> zone to Span(fromNs, Long.MAX_VALUE) }
    }

    fun refused(): List<SoakViolation> =
        events.filter { it.kind == SoakKind.ANSWER && it["status"] in promises && !isSafe(it["request"]) }
            .mapNotNull { answer ->
                val run = runs[answer["request"]]?.firstOrNull() ?: return@mapNotNull null
                val evidence = "status=${answer["status"]} answered=${answer.atNs.inS()} entry=" +
                    "${sendOf[answer["request"]]?.get("entry")} target=${run.target} begin=${run.beginNs.inS()}"
                SoakViolation(SoakRule.REFUSED, answer["request"], evidence)
            }

    fun mixed(): List<SoakViolation> =
        events.filter { it.kind == SoakKind.ANSWER && it["status"].startsWith("2") && it["sound"] != "true" }.map {
            SoakViolation(
                SoakRule.MIXED,
                it["request"],
                "status=${it["status"]} answered=${it.atNs.inS()} ${it["problem"]}",
            )
        }

    fun unasked(): List<SoakViolation> = events.filter { it.kind == SoakKind.ARRIVE }.mapNotNull { arrival ->
        val send = sendOf[arrival["request"]]
        val differs = send == null || arrival["hash"] != send["hash"] || arrival["bytes"] != send["bytes"]
        if (!differs) return@mapNotNull null
        val evidence = "target=${arrival["target"]} bytes=${arrival["bytes"]} of=${send?.get("bytes")}"
        SoakViolation(SoakRule.UNASKED, arrival["request"], evidence)
    }
}

private val promises = setOf("408", "421", "429", "503")
