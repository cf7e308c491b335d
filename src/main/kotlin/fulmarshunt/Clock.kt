/*
 * Clocks with a resolution of one millisecond. Decision code receives the time as an argument; processes read it from a
 * [Clock], so that tests can set it.
 */
package fulmarshunt

/** Reads a time in milliseconds. */
public class Clock internal constructor(private val readMs: () -> Long) {
    /** Returns the current reading in milliseconds. */
    public fun nowMs(): Long = readMs()
}

private const val NANOS_PER_MS = 1_000_000L

/** Returns a clock that never goes backwards and advances while the process is suspended; its origin is arbitrary. */
public fun monotonicClock(): Clock = Clock { System.nanoTime() / NANOS_PER_MS }

/** Returns a clock of the time since the Unix epoch, for records that people read; never measure durations with it. */
public fun wallClock(): Clock = Clock { System.currentTimeMillis() }

/** Returns a clock that reads [readMs], for tests and replays. */
public fun clockOf(readMs: () -> Long): Clock = Clock(readMs)
