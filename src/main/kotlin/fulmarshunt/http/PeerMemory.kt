/*
 * One account of what a process holds for the peers whose connections it accepts: unfinished heads, unread messages,
 * buffered bodies and unwritten responses. The sum is bounded, so that no crowd of peers can fill the memory, however
 * little each of them sends. Beyond the bound, the connections that hold most and make no progress are closed; a peer
 * with a small request is never among them. Confined to the traffic thread.
 */
package fulmarshunt.http

import fulmarshunt.Clock
import fulmarshunt.monotonicClock
import fulmarshunt.process.LimitedLog
import io.netty.util.internal.PlatformDependent
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import java.io.File
import kotlin.math.min

/** The account may take this share of the heap, whose rest holds the state of the process and short-lived objects. */
private const val HEAP_SHARE = 0.35

/** The account may take this share of the direct memory; buffers are kept as a whole while a part of them is used. */
private const val DIRECT_SHARE = 0.5

/** A few requests of the greatest size fit in any case. */
private const val LEAST_LIMIT_BYTES = 4L * 1_024 * 1_024

/** Connections are closed until the account is this much below its limit, so that they are rarely searched. */
private const val SETTLED_SHARE = 0.875

/** The account is searched again after it has grown by this share of the limit without a connection to close. */
private const val NEXT_SEARCH_SHARE = 0.0625

/** A full account is searched this often for requests that are refused. */
private const val SEARCH_PERIOD_MS = 100L

/** A connection that holds less than this share of what the greatest holds is kept. */
private const val VICTIM_SHARE = 0.5

/**
 * A connection whose request is being served is kept unless it holds more than this share of the limit. In the
 * deployments that is 390 KB, and a head of 15 lines with a buffered body takes 140 KB.
 */
private const val SERVED_SHARE = 1.0 / 64

/** Descriptors for files, links and listening sockets. */
private const val RESERVED_DESCRIPTORS = 100

/** The share of the other descriptors for accepted connections; the rest is for those to targets. */
private const val ACCEPTED_SHARE = 0.75

/** The descriptors that a deployment gives to a VM, for a process whose limit is higher or unknown. */
private const val DEFAULT_DESCRIPTORS = 4_100
private const val LEAST_CONNECTIONS = 16

/** What one connection holds at the moment. */
internal data class Holding<T>(
    val owner: T,
    val heldBytes: Long,
    /** When the peer sent or took bytes for the last time. */
    val progressAtMs: Long,
    /** Whether a request of the peer is incomplete, or its response unwritten. */
    val isUnfinished: Boolean,
)

/**
 * Returns whose connection is closed for want of memory: among those that hold about as much as the greatest, the one
 * without progress for the longest time.
 */
internal fun <T> memoryVictimOrNull(holdings: List<Holding<T>>): T? {
    val mostBytes = holdings.maxOfOrNull { it.heldBytes } ?: return null
    // Closing connections that hold nothing would free nothing.
    if (mostBytes == 0L) return null
    return holdings.filter { it.heldBytes >= mostBytes * VICTIM_SHARE }.minBy { it.progressAtMs }.owner
}

/**
 * Returns whose connection is closed for want of descriptors: the one without progress for the longest time, and only
 * if none has an unfinished request, an idle one.
 */
internal fun <T> descriptorVictimOrNull(holdings: List<Holding<T>>): T? =
    holdings.minWithOrNull(compareBy({ !it.isUnfinished }, { it.progressAtMs }))?.owner

/** The bounds of an account. */
public data class PeerLimits(public val heldBytes: Long, public val connections: Int)

/** Returns the bounds for a process with these limits of its own. */
internal fun peerLimitsOf(heapBytes: Long, directBytes: Long, descriptors: Int?): PeerLimits {
    val heldBytes = min(heapBytes * HEAP_SHARE, directBytes * DIRECT_SHARE).toLong()
    val usable = min(descriptors ?: DEFAULT_DESCRIPTORS, DEFAULT_DESCRIPTORS) - RESERVED_DESCRIPTORS
    return PeerLimits(
        heldBytes.coerceAtLeast(LEAST_LIMIT_BYTES),
        (usable * ACCEPTED_SHARE).toInt().coerceAtLeast(LEAST_CONNECTIONS),
    )
}

/** Returns the bounds for this process. */
public fun peerLimitsOfProcess(): PeerLimits =
    peerLimitsOf(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory(), descriptorLimitOrNull())

/** Returns the limit of open files of this process, or null if it is not known. */
private fun descriptorLimitOrNull(): Int? = runCatching {
    File("/proc/self/limits").readLines().first { it.startsWith("Max open files") }
        .removePrefix("Max open files").trim().substringBefore(' ').toInt()
}.getOrNull()

/** What the accepted connections of a process hold, at most [limits]. */
public class PeerMemory internal constructor(
    private val limits: PeerLimits,
    private val clock: Clock = monotonicClock(),
) {
    private val log = LogManager.getLogger(PeerMemory::class.java)
    private val closingLog = LimitedLog(log)
    private val shares = LinkedHashSet<PeerShare>()
    private var nextSearchBytes = limits.heldBytes
    private var searchedAtMs = 0L
    internal val maxServedBytes: Long = (limits.heldBytes * SERVED_SHARE).toLong()

    /** The bytes that are held for all peers. */
    public var heldBytes: Long = 0
        private set

    /** The connections that were closed because of a bound. */
    public var closedConnections: Long = 0
        private set

    /** Whether no more requests can be taken. */
    public val isFull: Boolean get() = heldBytes > limits.heldBytes

    /**
     * Opens the share of a connection, which [close] closes and [unwrittenBytes] tells of; returns null if there are
     * too many connections.
     */
    internal fun openOrNull(unwrittenBytes: () -> Long, close: () -> Unit): PeerShare? {
        if (shares.size >= limits.connections) {
            shares.toList().forEach { it.updateUnwritten() }
            val victim = descriptorVictimOrNull(closableHoldings()) ?: return null
            closeFor("connections", victim)
        }
        return PeerShare(this, unwrittenBytes, close, clock.nowMs()).also { shares += it }
    }

    internal fun remove(share: PeerShare) {
        shares -= share
    }

    internal fun nowMs(): Long = clock.nowMs()

    internal fun change(bytes: Long) {
        heldBytes += bytes
        val isSearching = nextSearchBytes == Long.MAX_VALUE
        if (!isSearching && !isFull) nextSearchBytes = limits.heldBytes
        if (bytes > 0 && heldBytes > nextSearchBytes) settle()
    }

    /** Whether bodies may be read ahead; the other half of the account is for what must be read. */
    internal val hasRoomAhead: Boolean get() = heldBytes <= limits.heldBytes / 2

    /** Returns whether no more requests can be taken; what has become closable without growing is closed first. */
    internal fun isFullAfterSearch(): Boolean {
        if (isFull && clock.nowMs() - searchedAtMs >= SEARCH_PERIOD_MS) settle()
        return isFull
    }

    private fun settle() {
        searchedAtMs = clock.nowMs()
        // What is closed meanwhile must not start another search.
        nextSearchBytes = Long.MAX_VALUE
        shares.toList().forEach { it.updateUnwritten() }
        if (heldBytes > limits.heldBytes) {
            val settledBytes = (limits.heldBytes * SETTLED_SHARE).toLong()
            while (heldBytes > settledBytes) closeFor("memory", memoryVictimOrNull(closableHoldings()) ?: break)
        }
        val grownBytes = heldBytes + (limits.heldBytes * NEXT_SEARCH_SHARE).toLong()
        nextSearchBytes = if (heldBytes > limits.heldBytes) grownBytes else limits.heldBytes
    }

    private fun closableHoldings() = shares.filter { it.isClosable }.map { it.holding() }

    private fun closeFor(reason: String, share: PeerShare) {
        closedConnections += 1
        closingLog.log(
            Level.WARN,
            "connection closed reason=$reason heldBytes=${share.heldBytes} allBytes=$heldBytes all=${shares.size}",
        )
        share.closeConnection()
    }
}

/** What one connection holds of a [PeerMemory]. */
internal class PeerShare(
    private val memory: PeerMemory,
    private val unwrittenBytes: () -> Long,
    private val close: () -> Unit,
    private var progressAtMs: Long,
) {
    private var isOpen = true
    private var unwritten = 0L

    /** The bytes of the connection that are held in all. */
    var heldBytes: Long = 0
        private set

    /** Whether the peer has sent a whole request that is being served; its connection is kept while it reads. */
    var isServed: Boolean = false

    val isClosable: Boolean get() = !isServed || unwritten > 0 || heldBytes > memory.maxServedBytes

    fun holding(): Holding<PeerShare> = Holding(this, heldBytes, progressAtMs, heldBytes > 0)

    /** Holds [bytes] more, or fewer if it is negative. */
    fun hold(bytes: Long) {
        if (!isOpen || bytes == 0L) return
        heldBytes += bytes
        memory.change(bytes)
    }

    fun recordProgress() {
        progressAtMs = memory.nowMs()
    }

    /** Counts what the peer has not taken yet of what was written to it. */
    fun updateUnwritten() {
        val bytes = unwrittenBytes()
        if (bytes < unwritten) recordProgress()
        val change = bytes - unwritten
        unwritten = bytes
        hold(change)
    }

    /** Whether there is memory to read ahead what cannot be sent yet. */
    val hasRoomAhead: Boolean get() = memory.hasRoomAhead

    /** Whether the process can take no more requests. */
    val isMemoryFull: Boolean get() = memory.isFullAfterSearch()

    fun closeConnection() {
        end()
        close()
    }

    /** Ends the share with the connection. */
    fun end() {
        if (!isOpen) return
        hold(-heldBytes)
        isOpen = false
        memory.remove(this)
    }
}
