/*
 * The parts of the decision about loads that vary: when a service needs another target, which service may lose one, and
 * which engine is chosen.
 */
package fulmarshunt.target

import fulmarshunt.ServiceId

/** The demand for a service beside the number of targets that serve it. */
internal data class ServicePressure(
    val service: ServiceId,
    /** Requests that wait or were turned away. */
    val unserved: Int,
    val running: Int,
    val targets: Int,
)

/** A load that could be ordered. */
internal data class LoadOption(val target: LoadTarget, val replaced: ServicePressure?)

/** The parts of the decision that vary. */
internal class LoadPolicy(
    /** Returns whether a service needs another target. */
    val needsTarget: (ServicePressure) -> Boolean,
    /** Returns whether the first service needs a place so much more than the second that it may take it. */
    val mayReplace: (ServicePressure, ServicePressure) -> Boolean,
    /** Chooses one of at least one option. */
    val choose: (List<LoadOption>) -> LoadOption,
)

/** A service with targets needs one more when this many requests wait for each of them. */
private const val MAX_UNSERVED_PER_TARGET = 4

/** A service takes a place from another one only if its demand for each target is this much greater. */
private const val REPLACE_FACTOR = 2

/** Returns the policy that compares the demand for each target. */
internal fun loadPolicy(): LoadPolicy = LoadPolicy(
    needsTarget = { it.unserved > 0 && it.unserved >= it.targets * MAX_UNSERVED_PER_TARGET },
    mayReplace = { wanted, replaced ->
        val left = (replaced.targets - 1).coerceAtLeast(1)
        wanted.targets == 0 ||
            wanted.unserved.toLong() * left >=
            REPLACE_FACTOR.toLong() * wanted.targets * (replaced.unserved + replaced.running)
    },
    choose = { options ->
        options.minWith(
            compareBy({ it.replaced != null }, { it.replaced?.demandPerTarget ?: 0.0 }, { it.target.inFlight }),
        )
    },
)

/** The requests for each target of the service. */
internal val ServicePressure.demandPerTarget: Double
    get() = (unserved + running).toDouble() / targets.coerceAtLeast(1)
