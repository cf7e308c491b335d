/*
 * Network addresses of the processes of this system and of targets.
 */
package fulmarshunt

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.Serializable

private const val MAX_PORT = 65_535

private const val OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"

/** The IPv4 numbers that can belong to one VM, which leaves out `0.0.0.0`, multicast and broadcast. */
private val unicastIpv4 = Regex("(22[0-3]|2[0-1][0-9]|1[0-9]{2}|[1-9][0-9]?)(\\.$OCTET){3}")

/** An IP number and a port. */
@Serializable
public data class Address(
    /** The IP number. */
    public val host: String,
    /** The TCP port, 0 for any free one when listening. */
    public val port: Int,
) {
    override fun toString(): String = "$host:$port"
}

/** Returns whether this is the IPv4 number of a VM and a port, so that a connection to it needs no lookup of a name. */
public fun Address.isUnicastEndpoint(): Boolean = port in 1..MAX_PORT && unicastIpv4.matches(host)

/**
 * Parses `host:port`.
 *
 * @return the address, or a message that describes the problem with [text].
 */
public fun parseAddress(text: String): Either<String, Address> {
    val colon = text.lastIndexOf(':')
    if (colon <= 0) return "\"$text\" is not of the form host:port".left()
    val port = text.substring(colon + 1).toIntOrNull()
    if (port == null || port !in 0..MAX_PORT) return "\"$text\" has no port between 0 and $MAX_PORT".left()
    return Address(text.substring(0, colon), port).right()
}
