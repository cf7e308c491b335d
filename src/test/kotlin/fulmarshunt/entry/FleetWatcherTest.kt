/*
 * What an entry VM makes of the replies of control VMs, odd ones included.
 */
package fulmarshunt.entry

import arrow.core.Either
import arrow.core.left
import fulmarshunt.Address
import fulmarshunt.ConfigurationVersion
import fulmarshunt.LogIndex
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.entry.watch.FleetWatcher
import fulmarshunt.entry.watch.Watch
import fulmarshunt.entry.watch.WatchReply
import fulmarshunt.entry.watch.watchChannel
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.operator.serving.ConfigurationDocument
import fulmarshunt.operator.serving.ServingConfiguration
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.process.startControlThread
import fulmarshunt.target.fleet.ListedTarget
import fulmarshunt.target.fleet.TargetRecord
import fulmarshunt.target.fleet.TimedFleet
import fulmarshunt.target.fleet.plain
import fulmarshunt.target.fleet.record
import fulmarshunt.target.fleet.request
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val TIMEOUT_MS = 5_000L

/** How long the control VM of the test holds a watch; shorter than the time limit of a watch. */
private const val HOLD_MS = 1_000L

/** Longer than the time limit of a watch. */
private const val LOST_MS = 4_000L

class FleetWatcherTest {
    private val control = startControlThread()
    private val calls = AtomicInteger()
    private val fleet = TimedFleet().fleet

    /** The last call. */
    private val watches = MutableStateFlow<Watch?>(null)

    /** Returns the reply to a call, given its number from 1 on. */
    private lateinit var replyTo: suspend (Int) -> WatchReply

    private val server = linksOf(
        "control",
        "secret-of-the-test",
        LinkHandlers().with(watchChannel) { _, watch ->
            watches.value = watch
            replyTo(calls.incrementAndGet())
        },
    )
    private val client = linksOf("entry", "secret-of-the-test", LinkHandlers())
    private val address = runBlocking { checkNotNull(server.listen(Address("127.0.0.1", 0)).getOrNull()) }

    @AfterEach
    fun close() {
        client.close()
        server.close()
        control.close()
    }

    private fun watcher(decode: (ConfigurationDocument) -> Either<String, ServingConfiguration>): FleetWatcher {
        val watcher = FleetWatcher(
            VmId("entry"),
            { listOf(address) },
            decode,
            fleet,
            client,
            control,
            monotonicClock(),
        )
        runBlocking { control.run { watcher.start() } }
        return watcher
    }

    private fun reply(records: List<TargetRecord> = emptyList(), revision: Long = 0, change: Long = 1) = WatchReply(
        isCurrent = true,
        state = if (revision == 0L) {
            null
        } else {
            ServingSnapshot(LogIndex(revision), ConfigurationDocument(ConfigurationVersion(revision), ByteArray(0)))
        },
        source = "source",
        targetChange = change,
        targets = records.map { ListedTarget(it, false) },
        controls = listOf(address),
        entryVms = 1,
        use = emptyMap(),
        refused = emptySet(),
    )

    /** Guards against an exception in the handling of one reply, after which a control VM is never watched again. */
    @Test
    fun `a reply that cannot be handled does not end the watch`(): Unit = runBlocking {
        replyTo = { number -> reply(revision = number.toLong()) }
        val watcher = watcher { document ->
            if (document.version.value == 1L) throw NoSuchElementException("odd") else "not needed".left()
        }
        withTimeout(TIMEOUT_MS) { watcher.views.first { it.revision.value >= 3 } }
    }

    /** Guards against records of a control VM of an older version, whose addresses and numbers cannot be used. */
    @Test
    fun `odd records name no target and replace none`(): Unit = runBlocking {
        val sound = record("sound")
        val odd = listOf(
            sound.copy(id = TargetId("port-high"), address = Address("127.0.0.1", 65_536)),
            sound.copy(id = TargetId("port-low"), address = Address("127.0.0.1", 0)),
            sound.copy(id = TargetId("name"), address = Address("localhost", 80)),
            sound.copy(id = TargetId("cold"), coldForMs = Long.MAX_VALUE),
            sound.copy(id = TargetId("slots"), slots = Int.MAX_VALUE),
            sound.copy(id = TargetId("line\nbreak")),
            sound.copy(sequence = Long.MAX_VALUE, address = Address("127.0.0.1", -1)),
        )
        replyTo = { number -> if (number == 1) reply(listOf(sound)) else reply(odd + record("last"), change = 2) }
        val watcher = watcher { "not needed".left() }
        val view = withTimeout(TIMEOUT_MS) { watcher.views.first { TargetId("last") in it.targets } }
        expectThat(view.targets.keys).isEqualTo(setOf(TargetId("sound"), TargetId("last")))
        expectThat(view.targets[TargetId("sound")]?.record).isEqualTo(sound)
    }

    /** Guards against a target that other entry VMs use although it said to this one that it is leaving. */
    @Test
    fun `control VMs are told what targets said of leaving`(): Unit = runBlocking {
        val record = record("a")
        replyTo = { reply(listOf(record)) }
        val watcher = watcher { "not needed".left() }
        val target = withTimeout(TIMEOUT_MS) { watcher.views.first { it.targets.isNotEmpty() } }.targets.values.single()
        control.run { fleet.recordLeaving(target) }
        withTimeout(TIMEOUT_MS) { watches.first { it?.leaving == setOf(record.instance) } }
        expectThat(watcher.watchedControlVms).isEqualTo(1)
    }

    /** Guards against use that nobody learns of, because the watch that reports it has lost its control VM. */
    @Test
    fun `another watch reports the use if the control VM of the first one is lost`(): Unit = runBlocking {
        val target = record("a", service = plain)
        replyTo = { number ->
            if (number == 1) delay(LOST_MS)
            reply(listOf(target))
        }
        val watcher = watcher { "not needed".left() }
        withTimeout(TIMEOUT_MS) { watcher.views.first { it.targets.isNotEmpty() } }
        control.run { runBlocking { fleet.place(request("r", plain), 0) } }
        withTimeout(TIMEOUT_MS) { watches.first { it?.use?.isNotEmpty() == true } }
    }

    /** Guards against use that other entry VMs learn of only when the watch of an idle VM ends. */
    @Test
    fun `a request ends the watch of an idle VM`(): Unit = runBlocking {
        val target = record("a", service = plain)
        replyTo = { number ->
            if (number > 1) delay(HOLD_MS)
            reply(listOf(target))
        }
        val watcher = watcher { "not needed".left() }
        withTimeout(TIMEOUT_MS) { watcher.views.first { it.targets.isNotEmpty() } }
        withTimeout(TIMEOUT_MS) { watches.first { it?.source == "source" && it.use.isEmpty() } }
        val placedAtNanos = System.nanoTime()
        control.run { runBlocking { fleet.place(request("r", plain), 0) } }
        withTimeout(TIMEOUT_MS) { watches.first { it?.use?.isNotEmpty() == true } }
        expectThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - placedAtNanos)).isLessThan(HOLD_MS / 2)
    }
}
