/*
 * One run of a target, from its start to its end. What is known of a target from its behaviour, such as a crash, holds
 * for the instance only: a restarted target may have the same id.
 */
package fulmarshunt.target

import fulmarshunt.Incarnation
import fulmarshunt.TargetId
import kotlinx.serialization.Serializable

/** One run of a target, from its start to its end. */
@Serializable
public data class TargetInstance(public val target: TargetId, public val incarnation: Incarnation)
