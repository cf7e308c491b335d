/*
 * Bounds the bytes that a process holds for messages from others, so that faulty peers cannot fill its memory. A
 * message that does not fit is not read, and its connection ends; other connections go on.
 */
package fulmarshunt.process

import java.util.concurrent.atomic.AtomicLong

/** A message is held up to four times while it is read and decoded, so that a budget can take half of the heap. */
private const val HEAP_SHARE = 8

/** The bytes of all messages that are being read or handled. May be used from any thread. */
public class ByteBudget internal constructor(private val limitBytes: Long) {
    private val held = AtomicLong()

    /** The bytes that are held at the moment. */
    public val heldBytes: Long get() = held.get()

    /** Holds [bytes] until [release], or returns false if they exceed the budget. */
    public fun tryHold(bytes: Int): Boolean {
        if (held.addAndGet(bytes.toLong()) <= limitBytes) return true
        held.addAndGet(-bytes.toLong())
        return false
    }

    /** Ends the hold of [bytes]. */
    public fun release(bytes: Long) {
        held.addAndGet(-bytes)
    }
}

/** Returns a budget of a part of the heap of this process, at least [leastBytes]. */
public fun byteBudgetOfHeap(leastBytes: Long): ByteBudget =
    ByteBudget(maxOf(leastBytes, Runtime.getRuntime().maxMemory() / HEAP_SHARE))
