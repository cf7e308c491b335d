/*
 * What targets say of their limits in their responses: how many requests a target takes in a second from all entry VMs
 * together, and how many it can refuse in a second before it fails. Each holds for as long as the target says so. Entry
 * VMs hear it, control VMs pass it on; the newest statement of an instance holds. Confined to the control thread.
 */
package fulmarshunt.target.fleet

import fulmarshunt.target.TargetInstance
import kotlinx.serialization.Serializable

/** How long a limit holds that no entry VM hears any more; the target is then asked again without one. */
private const val LIMIT_RETENTION_MS = 60_000L

/** How long it is remembered that a target names no limit any more, so that all VMs hear of it. */
private const val LIFTED_RETENTION_MS = 10_000L

/** Beyond this number, the oldest statements are dropped, so that a faulty sender cannot fill the memory. */
private const val MAX_STATEMENTS = 4_096

/** The age of a limit of requests of which nothing was said; any statement is newer, also for older versions. */
internal const val NOTHING_SAID_AGE_MS: Long = Long.MAX_VALUE / 4

/** What a target has said of its limits. */
@Serializable
public data class LimitStatement(
    public val instance: TargetInstance,
    /** The requests in a second from all entry VMs together, or null if the target names no limit any more. */
    public val requestsPerS: Double?,
    /** The time since the target said so; [NOTHING_SAID_AGE_MS] if it said nothing of its requests. */
    public val ageMs: Long,
    /** The refusals in a second that a brittle target bears, or null if it is not brittle any more. */
    public val refusalsPerS: Double? = null,
    /** The time since the target said so; null if it said nothing of its refusals. Older versions do not send it. */
    public val refusalsAgeMs: Long? = null,
) {
    /** Whether another VM may have sent this. */
    internal val isValid: Boolean
        get() = ageMs >= 0 && (refusalsAgeMs ?: 0) >= 0 && requestsPerS.isUsable() && refusalsPerS.isUsable()
}

private fun Double?.isUsable(): Boolean = this == null || this in 0.0..Double.MAX_VALUE

/** The limits of targets as one VM knows them. */
internal class NamedLimits {
    private val requests = StatedNumbers()
    private val refusals = StatedNumbers()

    /** The instances that have a limit of any kind. */
    val limited: Set<TargetInstance> get() = requests.named.keys + refusals.named.keys

    /** The refusals in a second that each brittle instance bears. */
    val refusalLimits: Map<TargetInstance, Double> get() = refusals.named

    /** Returns the requests in a second that [instance] takes from all entry VMs together, or null without a limit. */
    fun limitOrNull(instance: TargetInstance): Double? = requests.named[instance]

    /** Returns the refusals in a second that [instance] bears, or null if it is not known to be brittle. */
    fun refusalLimitOrNull(instance: TargetInstance): Double? = refusals.named[instance]

    /** Returns whether [instance] has said lately that it is not brittle any more. */
    fun isSound(instance: TargetInstance): Boolean = refusals.isLifted(instance)

    /**
     * Records [statement] unless a newer one is known.
     *
     * @param isDirect whether this VM has it from the side that heard it, and passes it on.
     * @return whether a limit of the instance has changed.
     */
    fun record(statement: LimitStatement, nowMs: Long, isDirect: Boolean): Boolean {
        val instance = statement.instance
        val isRequestChange = requests.record(instance, statement.requestsPerS, nowMs - statement.ageMs, isDirect)
        val refusalsAgeMs = statement.refusalsAgeMs ?: return isRequestChange
        return refusals.record(instance, statement.refusalsPerS, nowMs - refusalsAgeMs, isDirect) || isRequestChange
    }

    /** Returns what is known, or only what this VM passes on. */
    fun statements(nowMs: Long, onlyDirect: Boolean): List<LimitStatement> {
        val ofRequests = requests.statements(onlyDirect)
        val ofRefusals = refusals.statements(onlyDirect)
        return (ofRequests.keys + ofRefusals.keys).map { instance ->
            val request = ofRequests[instance]
            val refusal = ofRefusals[instance]
            LimitStatement(
                instance,
                request?.perS,
                request?.let { nowMs - it.saidAtMs } ?: NOTHING_SAID_AGE_MS,
                refusal?.perS,
                refusal?.let { nowMs - it.saidAtMs },
            )
        }
    }

    /** Forgets old statements. */
    fun expire(nowMs: Long) {
        requests.expire(nowMs)
        refusals.expire(nowMs)
    }
}

/** A number that a target has stated, or null if it states none any more. */
private class StatedNumber(val perS: Double?, val saidAtMs: Long, val isDirect: Boolean) {
    val retentionMs: Long get() = if (perS == null) LIFTED_RETENTION_MS else LIMIT_RETENTION_MS
}

/** The newest numbers of one kind that targets have stated. */
private class StatedNumbers {
    private val entries = linkedMapOf<TargetInstance, StatedNumber>()

    /** The numbers of the instances that state one. */
    var named: Map<TargetInstance, Double> = emptyMap()
        private set

    fun isLifted(instance: TargetInstance): Boolean = entries[instance]?.let { it.perS == null } ?: false

    /** Records a number unless a newer one is known, and returns whether it has changed. */
    fun record(instance: TargetInstance, perS: Double?, saidAtMs: Long, isDirect: Boolean): Boolean {
        val former = entries[instance]
        if (former == null && perS == null) return false
        if (former != null && former.saidAtMs > saidAtMs) return false
        entries.remove(instance)
        entries[instance] = StatedNumber(perS, saidAtMs, isDirect)
        if (entries.size > MAX_STATEMENTS) entries.remove(entries.keys.first())
        if (former?.perS != perS) listNamed()
        return former?.perS != perS
    }

    fun statements(onlyDirect: Boolean): Map<TargetInstance, StatedNumber> =
        entries.filterValues { it.isDirect || !onlyDirect }

    fun expire(nowMs: Long) {
        if (entries.values.removeIf { nowMs - it.saidAtMs > it.retentionMs }) listNamed()
    }

    private fun listNamed() {
        named = entries.mapNotNull { (instance, entry) -> entry.perS?.let { instance to it } }.toMap()
    }
}
