/*
 * Connections to targets. A connection is kept for another request only after a complete response without excess bytes,
 * until any byte arrives on it, and only for a short time, because targets and network devices drop idle connections
 * without notice. A target that this VM does not reach is tried through other VMs as well. Confined to the traffic
 * thread.
 */
package fulmarshunt.target.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.Clock
import fulmarshunt.http.HttpConnection
import fulmarshunt.http.OpenAttempt
import fulmarshunt.http.Traffic
import fulmarshunt.http.staggeredRace
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

/** The time limit for opening a connection; a lost packet costs a second, and trying another target takes less. */
internal const val DIAL_TIMEOUT_MS: Int = 600

/** The time limit for opening a connection directly or through other VMs. */
private const val OPEN_LIMIT_MS = 700L

/** The same limit while this VM takes itself to be cut off; direct connections then open at once or not at all. */
private const val CUT_OPEN_LIMIT_MS = 400L

/** How long one way to a target is tried alone; some callers wait no longer than 400 ms for a response. */
private const val STAGGER_MS = 120L

/** The maximum number of idle connections to one target. */
private const val MAX_IDLE = 6

/** The maximum idle time of a connection for requests that must not be repeated, and for others. */
private const val FRESH_MS = 1_500L
private const val IDLE_MS = 4_000L

/** Why a connection could not be opened. */
public data class DialFailure(
    public val reason: String,
    /** Whether this VM reaches no target at all, so that the failure says nothing about this one. */
    public val isOwnCut: Boolean,
)

/** Why another VM could not connect to a target. */
internal data class DetourFailure(
    val reason: String,
    /** Whether the target accepted no connection from a VM that reaches others. */
    val isTargetUnreachable: Boolean,
)

/** Connects to a target through another VM. */
internal typealias Detour = OpenAttempt<DetourFailure, HttpConnection>

/** Opens and keeps connections to targets. */
public class TargetConnections internal constructor(
    private val traffic: Traffic,
    private val clock: Clock,
    private val paths: TargetPaths,
    /** Returns the ways to a target through other VMs. */
    private val detours: (Address) -> List<Detour>,
) {
    public constructor(traffic: Traffic, clock: Clock) : this(traffic, clock, TargetPaths(), { emptyList() })

    private val log = LogManager.getLogger(TargetConnections::class.java)

    private class Idle(val connection: HttpConnection, val sinceMs: Long)

    private val idle = mutableMapOf<Address, ArrayDeque<Idle>>()

    /**
     * Returns an idle connection to [address] or a new one.
     *
     * @param mayBeStale true if the connection may have been dropped by the target without notice.
     */
    public suspend fun open(address: Address, mayBeStale: Boolean): Either<DialFailure, HttpConnection> =
        idleOrNull(address, mayBeStale)?.right() ?: openFresh(address)

    private fun idleOrNull(address: Address, mayBeStale: Boolean): HttpConnection? {
        val kept = idle[address] ?: return null
        val nowMs = clock.nowMs()
        val bound = if (mayBeStale) IDLE_MS else FRESH_MS
        while (true) {
            val last = kept.lastOrNull() ?: return null
            if (!last.connection.isReusable || nowMs - last.sinceMs > IDLE_MS) {
                kept.removeLast()
                last.connection.close()
            } else if (nowMs - last.sinceMs > bound) {
                return null
            } else {
                kept.removeLast()
                last.connection.onEnd = null
                last.connection.endIdle()
                return last.connection
            }
        }
    }

    /** Opens a new connection to [address], on which no earlier response can arrive. */
    public suspend fun openNew(address: Address): Either<String, HttpConnection> =
        openFresh(address).mapLeft { it.reason }

    /** Opens a new connection as [openNew] does, and tells whose fault a failure is. */
    internal suspend fun openFresh(address: Address): Either<DialFailure, HttpConnection> {
        val wasCut = paths.isCut
        val detours = detours(address)
        val direct: OpenAttempt<DetourFailure, HttpConnection> =
            { dial(address).mapLeft { DetourFailure(it, isTargetUnreachable = false) } }
        val limitMs = if (wasCut) CUT_OPEN_LIMIT_MS else OPEN_LIMIT_MS
        val together = if (wasCut) 2 else 1
        val others = detours.map { detour -> suspend { detour().onRight { paths.recordReachedByOther(address) } } }
        val opened =
            staggeredRace(
                traffic.scope,
                listOf(direct) + others,
                together,
                STAGGER_MS,
                limitMs,
                isFinal = { it.isTargetUnreachable },
            ) { it.close() }
        return opened.mapLeft { failures ->
            val isOwnCut = paths.isCutConfirmed && failures.none { it.isTargetUnreachable }
            DialFailure(failures.joinToString { it.reason }.ifEmpty { "no connection to $address" }, isOwnCut)
        }
    }

    /** Dials [address] to the end, also if nobody waits for it, because the result tells of the paths of this VM. */
    private suspend fun dial(address: Address): Either<String, HttpConnection> {
        val dialed = traffic.scope.async {
            traffic.dial(address, DIAL_TIMEOUT_MS).also { recordDial(address, it.isRight()) }
        }
        var isTaken = false
        try {
            return dialed.await().also { isTaken = true }
        } finally {
            if (!isTaken) traffic.scope.launch { dialed.await().onRight { it.close() } }
        }
    }

    /** Records whether a dial of [address] has opened a connection. */
    internal fun recordDial(address: Address, isOpen: Boolean) {
        if (!paths.recordDial(address, isOpen, clock.nowMs())) return
        if (paths.isCut) {
            log.warn("targets lost: connections to several targets in a row failed, last={}", address)
            // What is sent on them may be lost, and the others of this VM are cut off as well.
            idle.keys.toList().forEach(::closeIdle)
        } else {
            log.info("targets reached address={}", address)
        }
    }

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
