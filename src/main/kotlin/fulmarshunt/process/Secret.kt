/*
 * A secret value that does not appear in text made from the objects that hold it.
 */
package fulmarshunt.process

import kotlinx.serialization.Serializable

/** A secret such as a key or a password; its text form hides [value]. */
@Serializable
@JvmInline
public value class Secret(public val value: String) {
    override fun toString(): String = "(hidden)"
}
