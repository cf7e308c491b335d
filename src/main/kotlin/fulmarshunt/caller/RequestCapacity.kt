/*
 * The number of requests that fit into the memory of an entry VM. Without a bound, an entry process with 1,000 streams
 * exhausted a heap of 64 MB and broke all of them. A request beyond the bound is refused as not run instead.
 */
package fulmarshunt.caller

private const val BYTES_PER_MIB = 1L shl 20

/** The heap that an entry process needs for its configuration, pools and connections to targets. */
private const val RESERVED_BYTES = 24 * BYTES_PER_MIB

/** The memory of one streamed request: 129 KiB with 100 streams, and half of that as a margin. */
private const val BYTES_PER_REQUEST = 192L * 1_024

/** The number of requests that a process with a very small heap still serves. */
private const val MIN_REQUESTS = 16

/** Returns how many requests a process with [heapBytes] of heap may have queued or running. */
public fun requestCapacity(heapBytes: Long): Int =
    ((heapBytes - RESERVED_BYTES) / BYTES_PER_REQUEST).coerceIn(MIN_REQUESTS.toLong(), Int.MAX_VALUE.toLong()).toInt()
