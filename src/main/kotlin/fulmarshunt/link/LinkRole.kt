/*
 * The two sides of a link. The role is part of the handshake proof, so that a proof cannot be sent back to its sender.
 */
package fulmarshunt.link

/** The role of a process in a link. */
internal enum class LinkRole {
    /** The side that opened the connection. */
    DIALER,

    /** The side that accepted the connection. */
    LISTENER,
}
