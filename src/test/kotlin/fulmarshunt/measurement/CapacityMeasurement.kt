/*
 * The measurement behind the slopes in docs/CAPACITY.md: processor time, memory and bytes of the leader and of a
 * follower by the number of entry VMs that renew their leases, by the number of client accounts, and by the rate of
 * changes. Arguments are `name=value`: entries, accounts and rates (comma-separated lists), seconds, and spacing (the
 * milliseconds between the starts of two entry VMs).
 */
package fulmarshunt.measurement

import fulmarshunt.Address
import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.Revision
import fulmarshunt.VmId
import fulmarshunt.entry.EntryVm
import fulmarshunt.entry.LeaseGranted
import fulmarshunt.entry.RenewLease
import fulmarshunt.entry.StatePushReply
import fulmarshunt.entry.leaseChannel
import fulmarshunt.entry.stateChannel
import fulmarshunt.faults.Site
import fulmarshunt.faults.SiteVoter
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.link.linksOf
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.CommandAccepted
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.PutFailureDomain
import fulmarshunt.sha256Hex
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.nio.file.Files
import java.util.concurrent.atomic.AtomicLong
import kotlin.system.exitProcess

private const val LEASE_MS = 1_000L
private const val ACCOUNTS_PER_COMMAND = 250

/** Runs the measurement and prints one line for each size. */
fun main(arguments: Array<String>) {
    val values = arguments.associate { it.substringBefore('=') to it.substringAfter('=') }
    val seconds = values["seconds"]?.toLong() ?: 15L
    val entries = (values["entries"] ?: "20,110,330").split(',').map { it.toInt() }
    val accounts = (values["accounts"] ?: "500,2000,5500").split(',').map { it.toInt() }
    val rates = (values["rates"] ?: "1,5,20").split(',').map { it.toInt() }
    val spacingMs = values["spacing"]?.toLong() ?: 0L
    withSite { site ->
        entries.forEach { measureEntries(site, it, seconds, spacingMs) }
        rates.forEach { measureRate(site, entries.last(), it, seconds) }
        accounts.forEach { measureAccounts(site, it) }
    }
    exitProcess(0)
}

private fun withSite(block: (Site) -> Unit) {
    val directory = Files.createTempDirectory("fulmarshunt-capacity").toFile()
    Site(directory, voterCount = 3, entryCount = 0).use { site ->
        site.start()
        site.configure(PutFailureDomain(FailureDomain(FailureDomainId("suva"), shards = 64)))
        block(site)
    }
}

/** Simulated entry VMs that only renew their leases and receive state pushes, with one link each. */
private class LeaseHolders(site: Site, count: Int, spacingMs: Long = 0) : AutoCloseable {
    private val scope = CoroutineScope(Dispatchers.IO)
    private val links = mutableListOf<Links>()
    val pushes = AtomicLong()
    val renewals = AtomicLong()

    init {
        val leader = Address("127.0.0.1", site.leader().proxy.port)
        repeat(count) { number ->
            val applied = AtomicLong()
            val handlers =
                LinkHandlers().with(stateChannel) { _, push ->
                    pushes.incrementAndGet()
                    push.changes.lastOrNull()?.let { applied.set(it.index.value) }
                    StatePushReply(LogIndex(applied.get()))
                }
            val holderLinks = linksOf("holder-$number", Site.SECRET, handlers).also { links += it }
            val vm = EntryVm(VmId("holder-$number"), Address("127.0.0.1", 1), FailureDomainId("suva"))
            scope.launch {
                delay(number * spacingMs)
                while (true) {
                    val reply = holderLinks.call(
                        leader,
                        leaseChannel,
                        RenewLease(vm, LogIndex(applied.get())),
                        LEASE_MS,
                    ).getOrNull()
                    if (reply is LeaseGranted) {
                        renewals.incrementAndGet()
                        reply.snapshot?.let { applied.set(it.index.value) }
                        reply.changes.lastOrNull()?.let { applied.set(it.index.value) }
                    }
                    delay(LEASE_MS)
                }
            }
        }
    }

    override fun close() {
        scope.cancel()
        links.forEach { it.close() }
    }
}

private fun measureEntries(site: Site, count: Int, seconds: Long, spacingMs: Long) {
    LeaseHolders(site, count, spacingMs).use { holders ->
        val startMs = SETTLE_MS + count * spacingMs
        report(site, startMs / 1_000, "entry_vms=$count start") { Thread.sleep(startMs) }
        println("  pushes=${holders.pushes.get()}")
        val renewals = holders.renewals.get()
        report(site, seconds, "entry_vms=$count") { Thread.sleep(seconds * 1_000) }
        println("  renewals_per_s=${(holders.renewals.get() - renewals) / seconds}")
    }
}

private fun measureRate(site: Site, entryCount: Int, perSecond: Int, seconds: Long) {
    LeaseHolders(site, entryCount).use { holders ->
        Thread.sleep(SETTLE_MS)
        var revision = site.currentRevision()
        var slowestNanos = 0L
        val pushes = holders.pushes.get()
        report(site, seconds, "entry_vms=$entryCount changes_per_s=$perSecond") {
            repeat((seconds * perSecond).toInt()) { number ->
                val due = System.nanoTime() + 1_000_000_000L / perSecond
                val submittedNanos = System.nanoTime()
                revision = site.change(revision, listOf(account("rate-${number % 100}")))
                slowestNanos = maxOf(slowestNanos, System.nanoTime() - submittedNanos)
                Thread.sleep(maxOf(0, (due - System.nanoTime()) / 1_000_000))
            }
        }
        println("  slowest_in_effect_ms=${slowestNanos / 1_000_000} pushes=${holders.pushes.get() - pushes}")
    }
}

private fun measureAccounts(site: Site, count: Int) {
    var revision = site.currentRevision()
    (0 until count).chunked(ACCOUNTS_PER_COMMAND).forEach { numbers ->
        revision = site.change(revision, numbers.map { account("a$it") })
    }
    report(site, 2, "accounts=$count") { Thread.sleep(2_000) }
}

private const val SETTLE_MS = 4_000L

private fun account(name: String) = PutClientAccount(ClientAccount(ClientAccountId(name), sha256Hex(name)))

private fun Site.change(expected: Revision, changes: List<PutClientAccount>): Revision =
    (submit(expected, changes) as? CommandAccepted)?.revision ?: configure(*changes.toTypedArray())

private fun report(site: Site, seconds: Long, label: String, block: () -> Unit) {
    val leader = site.leader()
    val follower = site.voters.first { it !== leader }
    val before = listOf(leader, follower).map { usageOf(it.process.pid) to it.bytes() }
    block()
    val after = listOf(leader, follower).map { usageOf(it.process.pid) to it.bytes() }
    listOf("leader", "follower").forEachIndexed { index, role ->
        val cpu = corePercent(before[index].first, after[index].first)
        val bytes = (after[index].second - before[index].second) / maxOf(1, seconds)
        val resident = after[index].first.residentBytes / (1_024 * 1_024)
        println("%s %s core_percent=%.2f resident_mib=%d link_bytes_per_s=%d".format(label, role, cpu, resident, bytes))
    }
}

private fun SiteVoter.bytes(): Long = proxy.relayedBytes.get()
