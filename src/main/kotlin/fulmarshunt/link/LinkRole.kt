/*
 * The two sides of a link. The role is part of the handshake proof, so that a proof cannot be reflected to its sender.
 */
package fulmarshunt.link

/** The side of a link that a process is on. */
internal enum class LinkRole {
    /** The side that opened the connection. */
    DIALER,

    /** The side that accepted the connection. */
    LISTENER,
}
