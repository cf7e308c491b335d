/*
 * A serving configuration prepared for lookups on the path of requests.
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
        configuration.accounts.flatMap { account -> account.keys.map { it to account } }.toMap()
    private val services: Map<ServiceId, ServiceProfile> = configuration.services.associateBy { it.id }

    /** Whether requests on routes that are not public need a key. */
    public val hasAccounts: Boolean get() = configuration.accounts.isNotEmpty()

    /** Returns the route with the longest prefix of [path], without its query, at [host], without its port. */
    public fun routeOrNull(host: String, path: String): Route? {
        val routes = routesByHost[host.lowercase()] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            routes[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }

    /** Returns the client account that holds [key]. */
    public fun accountOrNull(key: String): AccountKeys? = accountsByKey[key]

    /** Returns the profile of a service that this configuration defines. */
    public fun serviceOrNull(service: ServiceId): ServiceProfile? = services[service]
}

/** Picks a service of this route for [randomFraction], which is uniform in 0 until 1. */
public fun Route.serviceFor(randomFraction: Double): ServiceId {
    var remaining = randomFraction * shares.sumOf { it.weight }
    for (share in shares) {
        remaining -= share.weight
        if (remaining < 0) return share.service
    }
    return shares.last { it.weight > 0 }.service
}
