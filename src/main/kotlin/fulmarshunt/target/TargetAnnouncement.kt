/*
 * The announcement that a target sends about once a second to any entry VM. There is no configured list of targets: a
 * target exists while it announces itself.
 */
package fulmarshunt.target

import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.Incarnation
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The two kinds of targets. */
@Serializable
public enum class TargetKind {
    /** A model engine that streams tokens. */
    @SerialName("engine")
    ENGINE,

    /** A plain HTTP service. */
    @SerialName("plain")
    PLAIN,
}

/** The load that a target reported; it lags behind the actual load. */
@Serializable
public data class TargetLoad(
    /** The cache memory in use. */
    @SerialName("used_tokens")
    public val usedTokens: Long = 0,
    public val running: Int = 0,
    public val waiting: Int = 0,
    /** The number of preemptions since the target started. */
    public val preemptions: Long = 0,
)

/** The kind of a cache event. */
@Serializable
public enum class CacheOperation {
    /** The prefix is cached from now on. */
    @SerialName("stored")
    STORED,

    /** The prefix was evicted. */
    @SerialName("removed")
    REMOVED,
}

/** One event of a target's prefix cache; a gap in [sequence] means that events were lost. */
@Serializable
public data class CacheEvent(
    public val sequence: Long,
    @SerialName("op")
    public val operation: CacheOperation,
    @SerialName("prefix_hash")
    public val prefixHash: Long,
)

/** The state of a target as it announces it. */
@Serializable
public data class TargetAnnouncement(
    public val target: TargetId,
    public val address: Address,
    public val incarnation: Incarnation,
    @SerialName("failure_domain")
    public val domain: FailureDomainId,
    public val kind: TargetKind,
    /** The models or plain services that are loaded now. */
    public val services: List<ServiceId>,
    /** True if the target refuses requests with an outdated fencing number. */
    @SerialName("checks_fencing")
    public val checksFencing: Boolean = false,
    /** The cache memory of an engine, shared by all running requests. */
    @SerialName("memory_tokens")
    public val memoryTokens: Long = 0,
    /** The number of concurrent requests that a cold target can handle. */
    @SerialName("start_limit")
    public val startLimit: Int = 1,
    /** The number of concurrent requests that a warm target can handle. */
    @SerialName("full_limit")
    public val fullLimit: Int = 64,
    /** True if the target is about to stop; it gets no new work. */
    public val leaving: Boolean = false,
    public val load: TargetLoad = TargetLoad(),
    @SerialName("cache_events")
    public val cacheEvents: List<CacheEvent> = emptyList(),
    /** The number of services that an engine can hold at once, or 0 if it accepts no load orders. */
    @SerialName("max_services")
    public val maxServices: Int = 0,
    /** The service that an engine is loading now, if any. */
    public val loading: ServiceId? = null,
)
