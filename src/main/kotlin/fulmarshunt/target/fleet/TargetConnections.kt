/*
 * Connections to targets. A connection is kept for another request only after a complete response without excess bytes,
 * until any byte arrives on it, and only for a short time, because targets and network devices drop idle connections
 * without notice. Confined to the traffic thread.
 */
package fulmarshunt.target.fleet

import arrow.core.Either
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.http.HttpConnection
import fulmarshunt.http.Traffic

/** The time limit for opening a connection; a lost packet costs a second, and trying another target takes less. */
private const val DIAL_TIMEOUT_MS = 600

/** The maximum number of idle connections to one target. */
private const val MAX_IDLE = 6

/** The maximum idle time of a connection for requests that must not be repeated, and for others. */
private const val FRESH_MS = 1_500L
private const val IDLE_MS = 4_000L

/** Opens and keeps connections to targets. */
public class TargetConnections(private val traffic: Traffic, private val clock: Clock) {
    private class Idle(val connection: HttpConnection, val sinceMs: Long)

    private val idle = mutableMapOf<Address, ArrayDeque<Idle>>()

    /**
     * Returns an idle connection to [address] or a new one.
     *
     * @param mayBeStale true if the connection may have been dropped by the target without notice.
     */
    public suspend fun open(address: Address, mayBeStale: Boolean): Either<String, HttpConnection> {
        val kept = idle[address]
        val nowMs = clock.nowMs()
        val bound = if (mayBeStale) IDLE_MS else FRESH_MS
        while (kept != null) {
            val last = kept.lastOrNull() ?: break
            if (!last.connection.isReusable || nowMs - last.sinceMs > IDLE_MS) {
                kept.removeLast()
                last.connection.close()
            } else if (nowMs - last.sinceMs > bound) {
                break
            } else {
                kept.removeLast()
                last.connection.onEnd = null
                last.connection.endIdle()
                return last.connection.right()
            }
        }
        return openNew(address)
    }

    /** Opens a new connection to [address], on which no earlier response can arrive. */
    public suspend fun openNew(address: Address): Either<String, HttpConnection> =
        traffic.dial(address, DIAL_TIMEOUT_MS)

    /** Keeps [connection] for another request if it is reusable, and closes it otherwise. */
    public fun release(address: Address, connection: HttpConnection) {
        val kept = idle.getOrPut(address) { ArrayDeque() }
        if (kept.size >= MAX_IDLE || !connection.beginIdle()) {
            connection.close()
            return
        }
        kept.addLast(Idle(connection, clock.nowMs()))
        connection.onEnd = { drop(address, connection) }
    }

    /** Closes the idle connections to [address]. */
    public fun closeIdle(address: Address) {
        idle.remove(address)?.forEach { it.connection.close() }
    }

    /** Closes connections that have been idle for too long. */
    public fun expire() {
        val nowMs = clock.nowMs()
        for ((address, kept) in idle.entries.toList()) {
            while (kept.isNotEmpty() && nowMs - kept.first().sinceMs > IDLE_MS) kept.removeFirst().connection.close()
            if (kept.isEmpty()) idle.remove(address)
        }
    }

    private fun drop(address: Address, connection: HttpConnection) {
        idle[address]?.removeIf { it.connection === connection }
        connection.close()
    }
}
