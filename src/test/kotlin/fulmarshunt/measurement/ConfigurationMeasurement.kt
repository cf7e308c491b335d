/*
 * Measures what changes of the durable state cost the links of entry VMs: the bytes that arrive at each, and the time
 * until the last one has the change. All VMs run in one process, each entry VM behind a link of its own; decoding is
 * left out, because the VMs share the processors of the machine. Arguments are `name=value`: entries (comma-separated),
 * link_kbps and routes.
 */
package fulmarshunt.measurement

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
import fulmarshunt.soak.moreRoutes
import fulmarshunt.standin.freePort
import fulmarshunt.standin.runTool
import fulmarshunt.target.fleet.FleetView
import fulmarshunt.target.fleet.TimedFleet
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull

private const val CONTROL_VMS = 9
private const val WATCHED = 3
private const val BITS_PER_KBIT = 1_000L
private const val NS_PER_MS = 1_000_000L
private const val LIMIT_MS = 30_000L

/** The time in which watches settle after a change, so that its bytes are counted with it. */
private const val SETTLED_MS = 1_500L

/** An entry VM behind a link of [bitsPerS] that watches the control VMs at [addresses]. */
private class MeasuredVm(number: Int, bitsPerS: Long, addresses: List<Address>) : AutoCloseable {
    val link = SlowLink(bitsPerS)
    private val proxied = addresses.map(link::to)
    private val links = linksOf("entry-$number", "secret-of-the-test", LinkHandlers())
    private val control = startControlThread()
    val watcher = FleetWatcher(
        VmId("entry-$number"),
        { proxied },
        { ServingConfiguration(it.version, emptyList(), emptyList(), CallerLimits(1, 1, 1, 1), null).right() },
        TimedFleet().fleet,
        links,
        control,
        monotonicClock(),
    )

    suspend fun start() = control.run { watcher.start() }

    override fun close() {
        links.close()
        link.close()
        control.close()
    }
}

private class Change(val name: String, val state: ServingSnapshot, val isApplied: (FleetView) -> Boolean)

private fun changes(routes: Int): List<Change> {
    var revision = 0L
    fun document(version: Int, count: Int): ConfigurationDocument {
        val text = """{"version":$version,"routes":[${moreRoutes(version, count).trimEnd(',')}]}"""
        return ConfigurationDocument(ConfigurationVersion(version.toLong()), text.encodeToByteArray())
    }

    fun replace(name: String, document: ConfigurationDocument) =
        Change("$name, ${document.bytes.size} bytes", ServingSnapshot(LogIndex(++revision), document)) {
            it.table?.configuration?.version == document.version
        }
    val large = document(2, routes)
    val drained = setOf(FailureDomainId("z"))
    return listOf(
        replace("half of the routes", document(1, routes / 2)),
        replace("all routes", large),
        Change("drain", ServingSnapshot(LogIndex(++revision), large, drained)) { it.drained == drained },
        replace("one route replaced", document(3, routes)),
    )
}

private suspend fun measure(entries: Int, bitsPerS: Long, routes: Int) {
    val controls = List(CONTROL_VMS) { Address("127.0.0.1", freePort()) }
        .mapIndexed { number, address -> address to ControlVm("control-$number", address, emptyList()) { true } }
    val vms = List(entries) { number ->
        MeasuredVm(number, bitsPerS, List(WATCHED) { controls[(number + it * WATCHED) % CONTROL_VMS].first })
    }
    vms.forEach { it.start() }
    while (vms.any { it.watcher.watchedControlVms < WATCHED }) delay(SETTLED_MS)
    for (change in changes(routes)) {
        val bytesBefore = vms.map { it.link.arrivedBytes.get() }
        val startedNs = System.nanoTime()
        controls.forEach { (_, vm) -> vm.snapshots.update { change.state } }
        val timesMs = runBlocking {
            vms.map { vm ->
                async {
                    withTimeoutOrNull(LIMIT_MS) {
                        vm.watcher.views.first(change.isApplied)
                        (System.nanoTime() - startedNs) / NS_PER_MS
                    }
                }
            }.awaitAll()
        }
        delay(SETTLED_MS)
        val bytes = vms.mapIndexed { number, vm -> vm.link.arrivedBytes.get() - bytesBefore[number] }
        println(
            "entries=$entries change=\"${change.name}\" bytes_mean=${bytes.average().toLong()} " +
                "bytes_max=${bytes.max()} applied=${timesMs.count {
                    it != null
                }} last_ms=${timesMs.maxOf { it ?: LIMIT_MS }}",
        )
    }
    vms.forEach { it.close() }
    controls.forEach { (_, vm) -> vm.close() }
}

/** Runs the measurement and prints a line for each number of entry VMs and each change. */
fun main(arguments: Array<String>): Unit =
    runTool("configuration", arguments, setOf("entries", "link_kbps", "routes")) { values ->
        val bitsPerS = (values["link_kbps"]?.toLong() ?: 10_000L) * BITS_PER_KBIT
        for (entries in (values["entries"] ?: "9,63,300").split(',')) {
            runBlocking { measure(entries.toInt(), bitsPerS, values["routes"]?.toInt() ?: 2_800) }
        }
    }
