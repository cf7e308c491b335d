/*
 * Configurations of the greatest size at an entry VM whose link is slow, with real control VMs.
 */
package fulmarshunt.entry.document

import arrow.core.right
import fulmarshunt.Address
import fulmarshunt.ConfigurationVersion
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.VmId
import fulmarshunt.entry.ControlVm
import fulmarshunt.entry.watch.FleetWatcher
import fulmarshunt.faults.SlowLink
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.operator.serving.CallerLimits
import fulmarshunt.operator.serving.ConfigurationDocument
import fulmarshunt.operator.serving.ServingConfiguration
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.process.startControlThread
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.TimedFleet
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

private const val TIMEOUT_MS = 30_000L
private const val POLL_MS = 10L

/** At 2 Mbit/s, the largest configuration takes 4 s, longer than the time limit of a watch. */
private const val SLOW_BITS_PER_S = 2_000_000L
private const val FAST_BITS_PER_S = 1_000_000_000L
private const val LARGEST_BYTES = 1_000_000

/** The bytes that watches and handshakes of three control VMs may take during a test. */
private const val OTHER_BYTES = 100_000L

class LargeConfigurationTest {
    private val link = SlowLink(SLOW_BITS_PER_S)
    private val addresses = List(3) { ServerSocket(0).use { Address("127.0.0.1", it.localPort) } }
    private val controls =
        addresses.mapIndexed { index, address -> ControlVm("c$index", address, emptyList()) { true } }
    private val control = startControlThread()
    private val links = linksOf("entry", "secret-of-the-test", LinkHandlers())
    private val proxied = addresses.map(link::to)
    private val decoded = CopyOnWriteArrayList<ConfigurationDocument>()
    private val watcher = FleetWatcher(
        VmId("entry"),
        { proxied },
        { document ->
            decoded += document
            ServingConfiguration(document.version, emptyList(), emptyList(), CallerLimits(1, 1, 1, 1), null).right()
        },
        TimedFleet().fleet,
        links,
        control,
        monotonicClock(),
    )

    @AfterEach
    fun close() {
        links.close()
        link.close()
        controls.forEach { it.close() }
        control.close()
    }

    private fun document(version: Long, bytes: ByteArray) = ConfigurationDocument(ConfigurationVersion(version), bytes)

    private fun setState(state: ServingSnapshot) = controls.forEach { it.snapshots.value = state }

    private suspend fun awaitView(condition: (FleetView) -> Boolean): FleetView =
        withTimeout(TIMEOUT_MS) { watcher.views.first(condition) }

    private suspend fun awaitVersion(version: Long) =
        awaitView { it.table?.configuration?.version == ConfigurationVersion(version) }

    private suspend fun startWatching() {
        control.run { watcher.start() }
        withTimeout(TIMEOUT_MS) { while (watcher.watchedControlVms < controls.size) delay(POLL_MS) }
    }

    /** Guards against a configuration that is sent by each watched control VM, and again whenever a watch ends. */
    @Test
    fun `a configuration crosses a slow link once`(): Unit = runBlocking {
        startWatching()
        val bytes = Random(1).nextBytes(LARGEST_BYTES)
        val before = link.arrivedBytes.get()
        setState(ServingSnapshot(LogIndex(1), document(1, bytes)))
        awaitVersion(1)
        expectThat(link.arrivedBytes.get() - before).isLessThan(LARGEST_BYTES + OTHER_BYTES)
        expectThat(decoded.map { it.bytes.contentEquals(bytes) }).isEqualTo(listOf(true))
    }

    /** Guards against an evacuation that waits for a configuration on its way, or brings it again. */
    @Test
    fun `a drain neither waits for a configuration nor repeats it`(): Unit = runBlocking {
        startWatching()
        val large = ServingSnapshot(LogIndex(1), document(1, Random(2).nextBytes(LARGEST_BYTES)))
        setState(large)
        val before = link.arrivedBytes.get()
        withTimeout(TIMEOUT_MS) { while (link.arrivedBytes.get() - before < LARGEST_BYTES / 10) delay(POLL_MS) }
        setState(large.copy(revision = LogIndex(2), drained = setOf(FailureDomainId("z"))))
        val view = awaitView { it.drained.isNotEmpty() }
        expectThat(view.table).isEqualTo(null)
        awaitVersion(1)
        expectThat(link.arrivedBytes.get() - before).isLessThan(LARGEST_BYTES + OTHER_BYTES)
        val applied = link.arrivedBytes.get()
        setState(large.copy(revision = LogIndex(3)))
        awaitView { it.drained.isEmpty() }
        expectThat(link.arrivedBytes.get() - applied).isLessThan(OTHER_BYTES)
    }

    /** Guards against a small change of a large configuration that costs as much as the whole of it. */
    @Test
    fun `a small change of a large configuration is small`(): Unit = runBlocking {
        link.bitsPerS = FAST_BITS_PER_S
        startWatching()
        val bytes = Random(3).nextBytes(LARGEST_BYTES)
        setState(ServingSnapshot(LogIndex(1), document(1, bytes)))
        awaitVersion(1)
        val before = link.arrivedBytes.get()
        val changed = bytes.copyOf(LARGEST_BYTES / 2) + Random(4).nextBytes(100) +
            bytes.copyOfRange(LARGEST_BYTES / 2 + 10, LARGEST_BYTES)
        setState(ServingSnapshot(LogIndex(2), document(2, changed)))
        awaitVersion(2)
        expectThat(link.arrivedBytes.get() - before).isLessThan(OTHER_BYTES)
        expectThat(decoded.last().bytes.contentEquals(changed)).isEqualTo(true)
    }

    /** Guards against a transfer that begins anew, or never ends, because the control VM that sends it is lost. */
    @Test
    fun `another control VM goes on where a lost one has stopped`(): Unit = runBlocking {
        startWatching()
        val before = link.arrivedBytes.get()
        setState(ServingSnapshot(LogIndex(1), document(1, Random(5).nextBytes(LARGEST_BYTES))))
        for (lost in 0..1) {
            val halfway = LARGEST_BYTES * (lost + 1) / 4
            withTimeout(TIMEOUT_MS) { while (link.arrivedBytes.get() - before < halfway) delay(POLL_MS) }
            controls[lost].close()
            link.cut(addresses[lost])
        }
        awaitVersion(1)
        expectThat(link.arrivedBytes.get() - before).isLessThan(LARGEST_BYTES + OTHER_BYTES)
    }

    /** Guards against an older configuration that replaces a newer one, or is decoded after it. */
    @Test
    fun `the newer one of two configurations close together takes effect`(): Unit = runBlocking {
        startWatching()
        val before = link.arrivedBytes.get()
        setState(ServingSnapshot(LogIndex(1), document(1, Random(6).nextBytes(LARGEST_BYTES))))
        withTimeout(TIMEOUT_MS) { while (link.arrivedBytes.get() - before < LARGEST_BYTES / 10) delay(POLL_MS) }
        controls.first().snapshots.value = ServingSnapshot(LogIndex(2), document(2, Random(7).nextBytes(LARGEST_BYTES)))
        awaitVersion(2)
        delay(POLL_MS)
        expectThat(decoded.map { it.version.value }).isEqualTo(decoded.map { it.version.value }.sorted())
        expectThat(watcher.views.value.table?.configuration?.version?.value ?: 0).isGreaterThan(1)
    }
}
