/*
 * The order of writes, syncs and messages, and the behaviour of a writer whose disk fails.
 */
package fulmarshunt.voter

import fulmarshunt.ClusterId
import fulmarshunt.LogIndex
import fulmarshunt.Term
import fulmarshunt.monotonicClock
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException
import java.util.concurrent.ConcurrentLinkedQueue

class DiskWriterTest {
    private val events = ConcurrentLinkedQueue<String>()

    private fun store(index: Long) =
        Store(Term(1), LogIndex(index), HardState(Term(1)), LogIndex(0), listOf(command(index, 1)))

    private fun answer(index: Long): Send {
        val message = Appended(LogIndex(index), Stamp(1, 0))
        return Send(peerB.address, Envelope(ClusterId("a#1"), self.id, self.address, peerB.id, Term(1), message), true)
    }

    private fun run(tasks: List<Action>, isBroken: Boolean = false, fullTimes: Int = 0) = runBlocking {
        var remainingFullTimes = fullTimes
        val storage =
            VoterStorage(
                append = { _, _, entries ->
                    if (isBroken) throw IOException("no space left")
                    if (remainingFullTimes-- > 0) throw IOException("No space left on device")
                    events += "append ${entries.map { it.index }}"
                },
                replace = { events += "replace" },
                close = { events += "close" },
            )
        val send: (Send) -> Unit = { events += "send ${(it.envelope.message as Appended).match}" }
        val reports = DiskWriterEvents(
            send,
            onStored = { events += "stored ${it.lastIndex}" },
            onFull = { events += "full" },
            onFailure = { events += "failed" },
        )
        val writer = DiskWriter(storage, monotonicClock(), reports)
        tasks.forEach(writer::submit)
        val writing = writer.start(this)
        while (fullTimes > 0 && !writer.isIdle) delay(5)
        writer.finish()
        writing.join()
    }

    /** Guards against a reply sent before what it acknowledges is on disk, and against one sync for each entry. */
    @Test
    fun `queued records are stored together before replies are sent`() {
        run(listOf(store(1), answer(1), store(2), answer(2)))
        expectThat(events.toList()).isEqualTo(listOf("append [1, 2]", "stored 2", "send 1", "send 2", "close"))
    }

    /** Guards against a voter that continues after a failed write. */
    @Test
    fun `nothing is sent or written after a failure`() {
        val replacement = StoreSnapshot(HardState(Term(1)), threeVoters, LogPosition.START, emptyList())
        run(listOf(store(1), answer(1), replacement), isBroken = true)
        expectThat(events.toList()).isEqualTo(listOf("failed", "close"))
    }

    /** Guards against a voter that ends on a full disk, or that acknowledges a record before there was room for it. */
    @Test
    fun `a record that finds no room is written again before anything behind it`() {
        run(listOf(store(1), answer(1)), fullTimes = 3)
        expectThat(events.toList())
            .isEqualTo(listOf("full", "full", "full", "append [1]", "stored 1", "send 1", "close"))
    }

    /** Guards against a shutdown that waits for room on the disk. */
    @Test
    fun `a writer that is finished gives up on a full disk`() {
        runBlocking {
            val storage = VoterStorage(
                append = { _, _, _ -> throw IOException("No space left on device") },
                replace = {},
                close = { events += "close" },
            )
            val reports = DiskWriterEvents({}, {}, { events += "full" }, { events += "failed" })
            val writer = DiskWriter(storage, monotonicClock(), reports)
            writer.submit(store(1))
            val writing = writer.start(this)
            while (events.isEmpty()) delay(5)
            writer.finish()
            writing.join()
        }
        expectThat(events.toSet()).isEqualTo(setOf("full", "close"))
    }
}
