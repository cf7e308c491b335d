/*
 * The messages with which an entry VM opens a tunnel to a target through another entry VM. After the reply, the bytes
 * for the target follow as they are, and those of the target in frames (TunnelFrames.kt).
 */
package fulmarshunt.entry.forward

import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.VmId
import fulmarshunt.link.Channel
import kotlinx.serialization.Serializable

/** An entry VM that forwards connections, and the address where it accepts tunnels. */
@Serializable
public data class Forwarder(public val vm: VmId, public val address: Address, public val domain: FailureDomainId)

/** Requests a connection to [target]. */
@Serializable
internal data class OpenTunnel(val target: Address)

/** What became of an [OpenTunnel]. */
@Serializable
internal enum class TunnelResult {
    OPEN,

    /** The target accepted no connection. */
    UNREACHABLE,

    /** The forwarder takes itself to be cut off from all targets. */
    NO_PATH,

    /** The forwarder knows no target at that address. */
    UNKNOWN_TARGET,

    /** The forwarder has as many tunnels as it takes. */
    BUSY,

    /** The forwarder is about to end. */
    STOPPING,
}

/** The reply to an [OpenTunnel]. */
@Serializable
internal data class TunnelReply(val result: TunnelResult)

internal val tunnelChannel: Channel<OpenTunnel, TunnelReply> =
    Channel("tunnel", OpenTunnel.serializer(), TunnelReply.serializer())
