/*
 * The announcements of targets that a control VM acknowledges.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.ConfigurationVersion
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.TargetId
import fulmarshunt.VmId
import fulmarshunt.entry.document.DocumentReference
import fulmarshunt.entry.forward.Forwarder
import fulmarshunt.entry.watch.StateExchange
import fulmarshunt.entry.watch.Watch
import fulmarshunt.entry.watch.WatchReply
import fulmarshunt.entry.watch.exchangeChannel
import fulmarshunt.entry.watch.watchChannel
import fulmarshunt.entry.watch.withChanges
import fulmarshunt.operator.serving.ConfigurationDocument
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.target.fleet.AgedRecord
import fulmarshunt.target.fleet.LimitStatement
import fulmarshunt.target.fleet.TargetPhase
import fulmarshunt.target.fleet.TargetUse
import fulmarshunt.target.fleet.record
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

private const val TIMEOUT_MS = 10_000L
private const val POLL_MS = 20L

/** Longer than a total of the use is shared by replies. */
private const val SHARED_TOTAL_MS = 100L

/** Longer than the period of exchanges. */
private const val SETTLED_MS = 300L

class WatchServiceTest {
    private val addresses = List(2) { ServerSocket(0).use { Address("127.0.0.1", it.localPort) } }
    private val leaving = record("t", sequence = 2, phase = TargetPhase.LEAVING)

    /** Guards against runs that end with their target because only an isolated control VM knew that it was leaving. */
    @Test
    fun `an isolated control VM acknowledges nothing`(): Unit = runBlocking {
        ControlVm("a", addresses[0], addresses) { false }.use { isolated ->
            expectThat(isolated.service.announce(record("t"))).isFalse()
            expectThat(isolated.service.announce(leaving)).isFalse()
            expectThat(isolated.service.leave(leaving.id, null)).isFalse()
        }
    }

    /** Guards against an acknowledgement just after a partition, while a control VM still counts as connected. */
    @Test
    fun `a notice of leaving is acknowledged once another control VM has received it`(): Unit = runBlocking {
        ControlVm("a", addresses[0], addresses) { true }.use { first ->
            expectThat(first.service.announce(record("t"))).isTrue()
            expectThat(first.service.announce(leaving)).isFalse()
            ControlVm("b", addresses[1], addresses) { true }.use {
                withTimeout(TIMEOUT_MS) { while (!first.service.leave(leaving.id, null)) delay(POLL_MS) }
            }
        }
    }

    /** Guards against odd records that a control VM of an older version has accepted and passes on. */
    @Test
    fun `odd records of other control VMs are ignored`(): Unit = runBlocking {
        ControlVm("a", addresses[0], addresses) { true }.use { first ->
            ControlVm("b", addresses[1], addresses) { true }.use { second ->
                val sound = record("sound")
                first.service.announce(sound)
                val odd = listOf(
                    sound.copy(startedAtMs = 2, address = Address("127.0.0.1", 65_536)),
                    sound.copy(startedAtMs = 2, coldForMs = Long.MAX_VALUE),
                    sound.copy(sequence = Long.MAX_VALUE),
                    sound.copy(id = TargetId("name"), address = Address("localhost", 80)),
                )
                val records = (odd + record("last")).map { AgedRecord(it, 0) }
                val exchange = StateExchange(VmId("b"), records, emptyList(), null, null)
                second.links.call(addresses[0], exchangeChannel, exchange, TIMEOUT_MS).onLeft { error(it) }
                expectThat(first.records().toSet()).isEqualTo(setOf(sound, record("last")))
            }
        }
    }

    /** Guards against a single control VM that never acknowledges announcements. */
    @Test
    fun `a control VM without others acknowledges announcements alone`(): Unit = runBlocking {
        ControlVm("a", addresses[0], addresses.take(1)) { true }.use { only ->
            expectThat(only.service.announce(leaving)).isTrue()
        }
    }

    /** Guards against a target that stays ready at a control VM that heard a later announcement before it left. */
    @Test
    fun `a target that has left is ready at no control VM`(): Unit = runBlocking {
        ControlVm("a", addresses[0], addresses) { true }.use { first ->
            ControlVm("b", addresses[1], addresses) { true }.use { second ->
                first.service.announce(record("t", sequence = 1))
                second.service.announce(record("t", sequence = 5))
                withTimeout(TIMEOUT_MS) { while (!first.service.leave(TargetId("t"), null)) delay(POLL_MS) }
                expectThat(second.records().single().phase).isNotEqualTo(TargetPhase.READY)
            }
        }
    }

    /** Guards against entry VMs that each have to find out by a response that a target is leaving. */
    @Test
    fun `what a target said to one entry VM reaches the other control VMs`(): Unit = runBlocking {
        ControlVm("a", addresses[0], addresses) { true }.use { first ->
            ControlVm("b", addresses[1], addresses) { true }.use { second ->
                first.service.announce(record("t"))
                val report = Watch(
                    VmId("entry"),
                    false,
                    emptyMap(),
                    emptyList(),
                    LogIndex(0),
                    "",
                    0,
                    leaving = setOf(record("t").instance),
                )
                second.links.call(addresses[0], watchChannel, report, TIMEOUT_MS).onLeft { error(it) }
                withTimeout(TIMEOUT_MS) {
                    while (second.records().map { it.phase } != listOf(TargetPhase.LEAVING)) delay(POLL_MS)
                }
                expectThat(first.records().map { it.phase }).isEqualTo(listOf(TargetPhase.LEAVING))
            }
        }
    }

    /** Guards against entry VMs that each have to find out by a response that a target names a limit. */
    @Test
    fun `the limits that a target named to one entry VM reach those that watch other control VMs`(): Unit =
        runBlocking {
            ControlVm("a", addresses[0], addresses) { true }.use { first ->
                ControlVm("b", addresses[1], addresses) { true }.use { second ->
                    val limit = LimitStatement(record("t").instance, 2.5, 0, refusalsPerS = 3.0, refusalsAgeMs = 0)
                    val report = Watch(
                        VmId("entry"),
                        false,
                        emptyMap(),
                        emptyList(),
                        LogIndex(0),
                        "",
                        0,
                        holdMs = 0,
                    )
                    val heard = report.copy(limits = listOf(limit, limit.copy(requestsPerS = -1.0)))
                    second.links.call(addresses[0], watchChannel, heard, TIMEOUT_MS).onLeft { error(it) }
                    withTimeout(TIMEOUT_MS) {
                        while (true) {
                            val other = report.copy(vm = VmId("other"))
                            val reply = first.links.call(addresses[1], watchChannel, other, TIMEOUT_MS).getOrNull()
                            val limits = reply?.limits.orEmpty().map { it.requestsPerS to it.refusalsPerS }
                            if (limits == listOf(2.5 to 3.0)) break
                            delay(POLL_MS)
                        }
                    }
                }
            }
        }

    /** Guards against an entry VM without paths to targets that does not know which others forward connections. */
    @Test
    fun `a forwarder is listed to the entry VMs of other control VMs once`(): Unit = runBlocking {
        ControlVm("a", addresses[0], addresses) { true }.use { first ->
            ControlVm("b", addresses[1], addresses) { true }.use { second ->
                val forwarder = Forwarder(VmId("entry"), Address("127.0.0.1", 7_000), FailureDomainId("here"))
                val watch = Watch(VmId("entry"), true, emptyMap(), emptyList(), LogIndex(0), "", 0, holdMs = 0)
                val told = watch.copy(forwarder = forwarder)
                second.links.call(addresses[0], watchChannel, told, TIMEOUT_MS).onLeft { error(it) }
                val other = watch.copy(vm = VmId("other"), isReporting = false)
                withTimeout(TIMEOUT_MS) {
                    while (true) {
                        val reply =
                            first.links.call(addresses[1], watchChannel, other, TIMEOUT_MS).fold({ error(it) }, { it })
                        if (reply.forwarders.isEmpty()) {
                            delay(POLL_MS)
                            continue
                        }
                        expectThat(reply.forwarders).isEqualTo(listOf(forwarder))
                        val next = other.copy(source = reply.source, forwardersNumber = reply.forwardersNumber)
                        val repeated =
                            first.links.call(addresses[1], watchChannel, next, TIMEOUT_MS).fold({ error(it) }, { it })
                        expectThat(repeated.forwarders).isEqualTo(emptyList())
                        break
                    }
                }
            }
        }
    }

    /** Guards against a control VM without contact to others that says nothing of it. */
    @Test
    fun `the number of reached control VMs is known`(): Unit = runBlocking {
        ControlVm("a", addresses[0], addresses) { true }.use { first ->
            expectThat(first.service.reachedControlVms).isEqualTo(0)
            ControlVm("b", addresses[1], addresses) { true }.use {
                withTimeout(TIMEOUT_MS) { while (first.service.reachedControlVms != 1) delay(POLL_MS) }
            }
            withTimeout(TIMEOUT_MS) { while (first.service.reachedControlVms != 0) delay(POLL_MS) }
        }
    }

    private suspend fun ControlVm.watch(at: Address, name: String, use: Int, former: WatchReply? = null): WatchReply {
        val uses = if (use == 0) emptyMap() else mapOf(TargetId("t") to TargetUse(use, use * 100L, 0))
        val watch = Watch(
            VmId(name), true, uses, emptyList(), LogIndex(0), former?.source.orEmpty(), former?.targetChange ?: 0,
            holdMs = 50, useNumber = former?.useNumber ?: 0, controlsNumber = former?.controlsNumber ?: 0,
        )
        return links.call(at, watchChannel, watch, TIMEOUT_MS).fold({ error(it) }, { it })
    }

    /** Guards against entry VMs that do not learn of the use at other control VMs, and against its repetition. */
    @Test
    fun `the use reported to one control VM reaches the entry VMs of another, and later only changes`(): Unit =
        runBlocking {
            ControlVm("a", addresses[0], addresses) { true }.use { first ->
                ControlVm("b", addresses[1], addresses) { true }.use { second ->
                    var here = first.watch(addresses[0], "one", 0)
                    var total = here.use
                    withTimeout(TIMEOUT_MS) {
                        while (total[TargetId("t")]?.running != 3) {
                            second.watch(addresses[1], "two", 3)
                            here = first.watch(addresses[0], "one", 0, here)
                            total = if (here.isUseChange) total.withChanges(here.use) else here.use
                        }
                    }
                    expectThat(here.isUseChange).isTrue()
                    expectThat(here.controls).isEqualTo(emptyList())
                    second.watch(addresses[1], "two", 3)
                    expectThat(first.watch(addresses[0], "one", 0, here).use).isEqualTo(emptyMap())
                    expectThat(first.watch(addresses[0], "one", 0).use.keys).isEqualTo(setOf(TargetId("t")))
                }
            }
        }

    /** Guards against a restarted control VM that adds changes to a use which it does not have. */
    @Test
    fun `a control VM that lacks the use asks for all of it`(): Unit = runBlocking {
        ControlVm("a", addresses[0], addresses.take(1)) { true }.use { vm ->
            val exchange = StateExchange(
                VmId("b"),
                emptyList(),
                emptyList(),
                mapOf(TargetId("t") to TargetUse(2, 200, 0)),
                null,
                useChanges = 4,
                useNumber = 5,
                source = "source",
            )
            val reply = vm.links.call(addresses[0], exchangeChannel, exchange, TIMEOUT_MS).fold({ error(it) }, { it })
            expectThat(reply.hasUse).isFalse()
            expectThat(vm.watch(addresses[0], "one", 0).use).isEqualTo(emptyMap())
            val complete = exchange.copy(useChanges = null)
            vm.links.call(addresses[0], exchangeChannel, complete, TIMEOUT_MS).onLeft { error(it) }
            delay(SHARED_TOTAL_MS)
            expectThat(vm.watch(addresses[0], "one", 0).use[TargetId("t")]?.running).isEqualTo(2)
        }
    }

    /** Guards against entry VMs of the version before, which would never get a configuration. */
    @Test
    fun `the document is sent only to entry VMs that do not fetch it`(): Unit = runBlocking {
        val document = ConfigurationDocument(ConfigurationVersion(7), ByteArray(500))
        val state = MutableStateFlow(ServingSnapshot(LogIndex(3), document))
        ControlVm("a", addresses[0], addresses.take(1), state) { true }.use { vm ->
            val watch = Watch(VmId("one"), false, emptyMap(), emptyList(), LogIndex(0), "", 0, holdMs = 50)
            val former = vm.links.call(addresses[0], watchChannel, watch, TIMEOUT_MS).fold({ error(it) }, { it })
            expectThat(former.state?.document?.bytes?.size).isEqualTo(500)
            val next = watch.copy(fetchesDocuments = true)
            val reply = vm.links.call(addresses[0], watchChannel, next, TIMEOUT_MS).fold({ error(it) }, { it })
            expectThat(reply.state).isEqualTo(null)
            expectThat(reply.summary?.document).isEqualTo(DocumentReference(document.version, document.digest, 500))
        }
    }

    /** Guards against entry VMs that go on watching a control VM that has lost its leader until the watch ends. */
    @Test
    fun `a watch ends when the control VM loses its leader`(): Unit = runBlocking {
        val isCurrent = AtomicBoolean(true)
        ControlVm("a", addresses[0], addresses.take(1)) { isCurrent.get() }.use { vm ->
            // The first periodic round notices the contact.
            delay(SETTLED_MS)
            val watch = Watch(VmId("one"), false, emptyMap(), emptyList(), LogIndex(0), "", 0, holdMs = 2_000)
            val former = vm.links.call(addresses[0], watchChannel, watch, TIMEOUT_MS).fold({ error(it) }, { it })
            val next = watch.copy(source = former.source, targetChange = former.targetChange)
            val pending =
                async { vm.links.call(addresses[0], watchChannel, next, TIMEOUT_MS).fold({ error(it) }, { it }) }
            delay(SETTLED_MS)
            val lostAtNanos = System.nanoTime()
            isCurrent.set(false)
            expectThat(pending.await().isCurrent).isFalse()
            expectThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lostAtNanos)).isLessThan(1_200)
        }
    }
}
