/*
 * The serving configuration of a deployment: which requests go to which service, with which limits, and whose keys are
 * accepted. Operators replace it as a whole under a growing version.
 */
package fulmarshunt.operator.serving

import fulmarshunt.ClientAccountId
import fulmarshunt.ConfigurationVersion
import fulmarshunt.ServiceId

/** How often a request may run. */
public enum class Repeatability {
    /** Running it again changes nothing. */
    IDEMPOTENT,

    /** It runs at most once. */
    AT_MOST_ONCE,

    /** It runs at most once, and its answer is a stream of numbered events. */
    STREAM,
}

/** A service that takes part of a route's requests, in proportion to its weight. */
public data class ServiceShare(public val service: ServiceId, public val weight: Double)

/** What is done with requests for one host whose path starts with [pathPrefix]. */
public data class Route(
    public val name: String,
    public val host: String,
    public val pathPrefix: String,
    public val repeatability: Repeatability,
    /** The longest time until the final answer. */
    public val timeoutMs: Long,
    /** The time within which an answer, or the first event of a stream, is on time. */
    public val objectiveMs: Long,
    /** The longest pause between events that is on time; 0 if the answer is no stream. */
    public val gapObjectiveMs: Long,
    /** The urgency; 0 is the most urgent. */
    public val rank: Int,
    public val shares: List<ServiceShare>,
    /** The greatest number of targets that may run one request. */
    public val maxTargets: Int,
    /** Whether requests need no key. */
    public val isPublic: Boolean,
    /** Whether another run may continue a stream after its last event. */
    public val isResumable: Boolean,
)

/** What the engines of a service can do. */
public data class EngineProfile(
    /** The requests that one engine runs at once. */
    public val slots: Int,
    /** The tokens that fit into the memory of one engine. */
    public val memoryTokens: Int,
    /** Whether a running generation can be moved to another engine. */
    public val canMigrate: Boolean,
    /** Whether an engine keeps copies of the memory of generations at another one. */
    public val canBackUp: Boolean,
    /** The tokens that one event of a stream holds. */
    public val tokensPerEvent: Int,
)

/** A service and what its targets bear. */
public data class ServiceProfile(
    public val id: ServiceId,
    public val healthPath: String,
    /** The connections that one target accepts from all callers together. */
    public val maxConnections: Int,
    /** The requests that a cold target bears in a second; 0 if its targets are never cold. */
    public val coldStartsPerS: Double,
    /** Null for a plain service. */
    public val engine: EngineProfile?,
)

/** Bounds on what a caller may send and how long it may take. */
public data class CallerLimits(
    public val maxHeaderBytes: Int,
    public val maxBodyBytes: Long,
    public val headerTimeoutMs: Long,
    public val idleTimeoutMs: Long,
)

/** The keys of a client account; [rank], if there is one, replaces the rank of routes. */
public data class AccountKeys(
    public val account: ClientAccountId,
    public val keys: List<String>,
    public val rank: Int?,
)

/** One whole configuration. */
public data class ServingConfiguration(
    public val version: ConfigurationVersion,
    public val routes: List<Route>,
    public val services: List<ServiceProfile>,
    public val limits: CallerLimits,
    public val accounts: List<AccountKeys>,
)

/** Returns what makes this configuration unusable, or null. */
public fun ServingConfiguration.problemOrNull(): String? = routes.firstNotNullOfOrNull { routeProblemOrNull(it) }
    ?: duplicateOrNull(routes.map { it.host.lowercase() + it.pathPrefix })?.let { "two routes share $it" }
    ?: duplicateOrNull(services.map { it.id })?.let { "service $it is defined twice" }
    ?: duplicateOrNull(accounts.map { it.account })?.let { "client account $it is defined twice" }
    ?: duplicateOrNull(accounts.flatMap { it.keys.distinct() })?.let { "two client accounts share a key" }

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
