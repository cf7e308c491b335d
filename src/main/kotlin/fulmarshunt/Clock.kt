/*
 * Time in milliseconds. Decision code receives the time as an argument; the processes read it from a [Clock], so
 * that tests can set it.
 */
package fulmarshunt

/** Reads a time in milliseconds. */
public class Clock internal constructor(private val readMs: () -> Long) {
    /** Returns the current reading in milliseconds. */
    public fun nowMs(): Long = readMs()
}

private const val NANOS_PER_MS = 1_000_000L

/** Returns a clock that never goes back and keeps counting while the process is stopped; its origin is arbitrary. */
public fun monotonicClock(): Clock = Clock { System.nanoTime() / NANOS_PER_MS }

/** Returns the time since the Unix epoch, for records that people read; never use it to measure durations. */
public fun wallClock(): Clock = Clock { System.currentTimeMillis() }

/** Returns a clock that reads [readMs], for tests and replays. */
public fun clockOf(readMs: () -> Long): Clock = Clock(readMs)
