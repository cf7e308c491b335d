/*
 * The configurable parts of load planning: when a service needs another target, which service may lose one, and which
 * engine is chosen.
 */
package fulmarshunt.target

import fulmarshunt.ServiceId

/** The demand for a service and the number of targets that serve it. */
internal data class ServicePressure(
    val service: ServiceId,
    /** Requests that are waiting or were rejected. */
    val unserved: Int,
    val running: Int,
    val targets: Int,
)

/** A possible load order; [replaced] is the service to replace, if any. */
internal data class LoadOption(val target: LoadTarget, val replaced: ServicePressure?)

/** The functions that load planning uses. */
internal class LoadPolicy(
    /** Returns whether a service needs another target. */
    val needsTarget: (ServicePressure) -> Boolean,
    /** Returns whether the first service needs a target so much more than the second that it may replace it. */
    val mayReplace: (ServicePressure, ServicePressure) -> Boolean,
    /** Chooses one of at least one option. */
    val choose: (List<LoadOption>) -> LoadOption,
)

/** A service with targets needs one more when this many requests wait for each of them. */
private const val MAX_UNSERVED_PER_TARGET = 4

/** A service replaces another one only if its demand per target is this much greater. */
private const val REPLACE_FACTOR = 2

/** Returns the policy that compares the demand per target. */
internal fun loadPolicy(): LoadPolicy = LoadPolicy(
    needsTarget = { it.unserved > 0 && it.unserved >= it.targets * MAX_UNSERVED_PER_TARGET },
    mayReplace = { wanted, replaced ->
        val remainingTargets = (replaced.targets - 1).coerceAtLeast(1)
        wanted.targets == 0 ||
            wanted.unserved.toLong() * remainingTargets >=
            REPLACE_FACTOR.toLong() * wanted.targets * (replaced.unserved + replaced.running)
    },
    choose = { options ->
        options.minWith(
            compareBy({ it.replaced != null }, { it.replaced?.demandPerTarget ?: 0.0 }, { it.target.inFlight }),
        )
    },
)

/** The number of requests per target of the service. */
internal val ServicePressure.demandPerTarget: Double
    get() = (unserved + running).toDouble() / targets.coerceAtLeast(1)
