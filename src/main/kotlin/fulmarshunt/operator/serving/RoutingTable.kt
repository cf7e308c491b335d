/*
 * Indexes over a serving configuration for the lookups that every request needs.
 */
package fulmarshunt.operator.serving

import fulmarshunt.ServiceId

/** Finds routes, services and client accounts of one configuration. Immutable. */
public class RoutingTable(public val configuration: ServingConfiguration) {
    private val routesByHost: Map<String, Map<String, Route>> =
        configuration.routes
            .groupBy { it.host.lowercase() }
            .mapValues { (_, routes) -> routes.associateBy { it.pathPrefix } }
    private val accountsByKey: Map<String, AccountKeys> =
        configuration.accounts.orEmpty().flatMap { account -> account.keys.map { it to account } }.toMap()
    private val services: Map<ServiceId, ServiceProfile> = configuration.services.associateBy { it.id }

    /** Whether requests on routes that are not public need a key, also if no client account has one. */
    public val requiresKeys: Boolean get() = configuration.accounts != null

    /** Returns the route at [host], without its port, with the longest prefix of [path], without its query. */
    public fun routeOrNull(host: String, path: String): Route? {
        val routes = routesByHost[host.lowercase()] ?: return null
        var slash = path.lastIndexOf('/')
        while (slash >= 0) {
            routes[path.substring(0, slash + 1)]?.let { return it }
            slash = if (slash == 0) -1 else path.lastIndexOf('/', slash - 1)
        }
        return null
    }

    /** Returns the client account that [key] belongs to. */
    public fun accountOrNull(key: String): AccountKeys? = accountsByKey[key]

    /** Returns the profile of [service]. */
    public fun serviceOrNull(service: ServiceId): ServiceProfile? = services[service]
}

/** Picks a service of this route by weight; [randomFraction] is uniform in 0 until 1. */
public fun Route.serviceFor(randomFraction: Double): ServiceId {
    var remaining = randomFraction * shares.sumOf { it.weight }
    for (share in shares) {
        remaining -= share.weight
        if (remaining < 0) return share.service
    }
    return shares.last { it.weight > 0 }.service
}
