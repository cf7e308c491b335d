/*
 * A secret value that does not appear in the text form of the objects that contain it.
 */
package fulmarshunt.process

import kotlinx.serialization.Serializable

/** A secret such as a key or a password; its text form hides [value]. */
@Serializable
@JvmInline
public value class Secret(public val value: String) {
    override fun toString(): String = "(hidden)"
}
