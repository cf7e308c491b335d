/*
 * The serving configuration of a deployment: the services that requests are routed to, the limits, and the accepted
 * keys. Operators replace the complete configuration under an increasing version.
 */
package fulmarshunt.operator.serving

import fulmarshunt.ClientAccountId
import fulmarshunt.ConfigurationVersion
import fulmarshunt.ServiceId

/** How often a request may run. */
public enum class Repeatability {
    /** It may run more than once; repeating it has no further effect. */
    IDEMPOTENT,

    /** It runs at most once. */
    AT_MOST_ONCE,

    /** It runs at most once, and its response is a stream of numbered events. */
    STREAM,
}

/** A service that receives a share of a route's requests, in proportion to [weight]. */
public data class ServiceShare(public val service: ServiceId, public val weight: Double)

/** The handling of requests for [host] whose path starts with [pathPrefix]. */
public data class Route(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val repeatability: Repeatability,
    /** The longest time until the response is complete. */
    public val timeoutMs: Long,
    /** The latency objective for a response, or for the first event of a stream. */
    public val objectiveMs: Long,
    /** The latency objective for the gap between events; 0 if the response is not a stream. */
    public val gapObjectiveMs: Long,
    /** The rank among waiting requests; 0 is the most urgent. */
    public val rank: Int,
    public val shares: List<ServiceShare>,
    /** The greatest number of targets that may run one request. */
    public val maxTargets: Int,
    /** Whether requests are accepted without a key. */
    public val isPublic: Boolean,
    /** Whether another run may resume a stream after its last event. */
    public val isResumable: Boolean,
)

/** The capabilities of the engines of a service. */
public data class EngineProfile(
    /** The number of requests that one engine runs concurrently. */
    public val slots: Int,
    /** The number of tokens that fit into the memory of one engine. */
    public val memoryTokens: Int,
    /** Whether a running generation can be migrated to another engine. */
    public val canMigrate: Boolean,
    /** Whether an engine can copy the memory of a generation to another engine. */
    public val canBackUp: Boolean,
    /** The number of tokens in one event of a stream. */
    public val tokensPerEvent: Int,
)

/** A service and the capacity of its targets. */
public data class ServiceProfile(
    public val id: ServiceId,
    public val healthPath: String,
    /** The number of connections that one target accepts in total. */
    public val maxConnections: Int,
    /** The requests that a cold target can start in a second; 0 if its targets are never cold. */
    public val coldRequestsPerS: Double,
    /** Null for a plain service. */
    public val engine: EngineProfile?,
)

/** Limits on the size and the timing of callers' requests. */
public data class CallerLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Long,
    public val headerTimeoutMs: Long,
    public val idleTimeoutMs: Long,
)

/** The keys of a client account; [rank], unless null, overrides the rank of routes. */
public data class AccountKeys(
    public val account: ClientAccountId,
    public val keys: List<String>,
    public val rank: Int?,
)

/** A complete serving configuration. */
public data class ServingConfiguration(
    public val version: ConfigurationVersion,
    public val routes: List<Route>,
    public val services: List<ServiceProfile>,
    public val limits: CallerLimits,
    /** Null if the operator names no client accounts, so that requests need no key; empty if no key is accepted. */
    public val accounts: List<AccountKeys>?,
)

/** Returns the first problem that makes this configuration unusable, or null if it is valid. */
public fun ServingConfiguration.problemOrNull(): String? = routes.firstNotNullOfOrNull { routeProblemOrNull(it) }
    ?: duplicateOrNull(routes.map { it.host.lowercase() + it.pathPrefix })?.let { "two routes share $it" }
    ?: duplicateOrNull(services.map { it.id })?.let { "service $it is defined twice" }
    ?: duplicateOrNull(accounts.orEmpty().map { it.account })?.let { "client account $it is defined twice" }
    ?: duplicateOrNull(accounts.orEmpty().flatMap { it.keys.distinct() })?.let { "two client accounts share a key" }

private fun ServingConfiguration.routeProblemOrNull(route: Route): String? {
    val known = services.mapTo(mutableSetOf()) { it.id }
    val unknown = route.shares.find { it.service !in known }
    return when {
        unknown != null -> "route ${route.name} names the unknown service ${unknown.service}"
        route.shares.any { it.weight < 0 } -> "route ${route.name} has a negative weight"
        route.shares.sumOf { it.weight } <= 0 -> "the weights of route ${route.name} add up to 0"
        route.timeoutMs <= 0 -> "the timeout of route ${route.name} is not positive"
        route.maxTargets <= 0 -> "route ${route.name} allows no target"
        !route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/') ->
            "the path prefix of route ${route.name} does not begin and end with a slash"
        else -> null
    }
}

private fun <T : Any> duplicateOrNull(values: List<T>): T? {
    val seen = HashSet<T>()
    return values.find { !seen.add(it) }
}
