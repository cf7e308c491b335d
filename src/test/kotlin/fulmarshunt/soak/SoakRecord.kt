/*
 * What clients, targets, the operator and the fault injector record: one line for each event, with System.nanoTime,
 * which is the same clock in all JVMs of one Linux machine.
 */
package fulmarshunt.soak

import java.io.File
import java.io.FileOutputStream

/** The kinds of recorded events. */
internal enum class SoakKind {
    /** A client sends the first byte of a request to an entry VM. */
    SEND,

    /** A client has sent the last byte of a request. */
    SENT,

    /** A client has a complete response. */
    ANSWER,

    /** A client has no complete response; `by` says whether it gave up itself or its connection ended. */
    FAIL,

    /** A request arrives at a target. */
    ARRIVE,

    /** A target has taken a request that waits before it runs. */
    QUEUED,

    /** A target begins to run a request. */
    BEGIN,

    /** A target no longer works on a request. */
    END,

    /** A target rejects a request without running it. */
    REFUSE,

    /** The fault injector disturbs a process, until the next RECOVERED of the same process. */
    DISTURBED,

    /** A disturbed process runs again. */
    RECOVERED,

    /** A process was killed; its runs have ended. */
    KILLED,

    /** A process has ended after SIGTERM, by itself or by the SIGKILL at the end of its grace period. */
    ENDED,

    /** A target is told to stop a run and to copy it; `answer` says what its caller gets. */
    MOVE,

    /** An entry VM is cut from all targets, until the next JOINED; it runs, and all others reach it. */
    CUT,

    /** An entry VM that was cut reaches the targets again. */
    JOINED,

    /** A target names a limit of its requests in a response. */
    LIMITED,

    /** A target was told to mishandle a part of its requests; it runs and is reached all the same. */
    INJECTED,

    /** A target sends an event that its caller has already. */
    MISPLACED,

    /** The operator sends an order. */
    ORDER,

    /** An order was acknowledged. */
    ACKNOWLEDGED,

    /** An entry VM was asked for the route of a configuration that has to be in effect. */
    PROBE,
}

/** One recorded event. Values hold no spaces. */
internal data class SoakEvent(val atNs: Long, val kind: SoakKind, val fields: Map<String, String>) {
    /** Returns the value of [name], or an empty text. */
    operator fun get(name: String): String = fields[name].orEmpty()

    override fun toString(): String = "$atNs $kind" + fields.entries.joinToString("") { " ${it.key}=${it.value}" }
}

/** Creates an event of [kind] at [atNs]. */
internal fun soakEvent(atNs: Long, kind: SoakKind, vararg fields: Pair<String, Any>): SoakEvent =
    SoakEvent(atNs, kind, fields.associate { (name, value) -> name to value.toString().replace(' ', '_') })

/** Decodes a line, or returns null for one that was cut by the end of its writer. */
internal fun soakEventOrNull(line: String): SoakEvent? {
    val words = line.split(' ')
    val atNs = words[0].toLongOrNull() ?: return null
    val kind = SoakKind.entries.find { it.name == words.getOrNull(1) } ?: return null
    return SoakEvent(atNs, kind, words.drop(2).associate { it.substringBefore('=') to it.substringAfter('=') })
}

/** Writes events to [file]; each is in the file when [add] returns, so that a killed writer loses none. */
internal class SoakRecord(file: File) : AutoCloseable {
    private val output = FileOutputStream(file, true)

    fun add(kind: SoakKind, vararg fields: Pair<String, Any>): Unit = synchronized(output) {
        output.write("${soakEvent(System.nanoTime(), kind, *fields)}\n".encodeToByteArray())
    }

    override fun close(): Unit = synchronized(output) { output.close() }
}

/** Reads all records in [directory], in the order of time. */
internal fun readSoakRecords(directory: File): List<SoakEvent> = directory.listFiles().orEmpty()
    .filter { it.extension == "record" }
    .flatMap { it.readLines().mapNotNull(::soakEventOrNull) }
    .sortedBy { it.atNs }
