/*
 * Two faults at the same time, or one fault twice, with real processes behind fault-injecting proxies.
 */
package fulmarshunt.faults

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.VmId
import fulmarshunt.VoterId
import fulmarshunt.operator.ChangeVoters
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.ConfigurationReply
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.ReadConfiguration
import fulmarshunt.operator.SetFailureDomainDrained
import fulmarshunt.sha256Hex
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors

private fun account(name: String) = PutClientAccount(ClientAccount(ClientAccountId(name), sha256Hex(name)))

@Timeout(TEST_LIMIT_S)
class FaultPairTest {
    @TempDir
    lateinit var directory: File

    private fun withSite(voterCount: Int = 3, entryCount: Int = 2, block: (Site) -> Unit): Unit =
        withGenerationSite(directory, voterCount, entryCount, block)

    private fun Site.accountNames(): List<String> = eventually("a read of the configuration") {
        val reply = ask(ReadConfiguration(Site.OPERATOR, Site.OPERATOR_KEY)) as? ConfigurationReply
        reply?.configuration?.accounts?.keys?.map { it.value }
    }

    /** Adds the voter id of the wiped [voter] and removes [formerId]. */
    private fun Site.replaceVoter(voter: SiteVoter, formerId: VoterId) {
        val joining = voterIdOf(voter)
        val change =
            ChangeVoters(Site.OPERATOR, Site.OPERATOR_KEY, joining, VmId(voter.name), voter.address, formerId)
        awaitThat("the replacement of ${voter.name}") {
            ask(change)
            val voters = status().voters
            voters.any { it.id == joining && !it.isLearner } && voters.none { it.id == formerId }
        }
    }

    /** Guards against changes that revert when a voter crashes right after the lost disk of another was replaced. */
    @Test
    fun `a second voter crashes right after a lost disk was replaced`() {
        Site(directory, voterCount = 3, entryCount = 0).use { site ->
            site.start()
            site.configure(account("before"))
            val leader = site.leader()
            val lost = site.voters.first { it != leader }
            val formerId = site.status().voters.first { it.vm.value == lost.name }.id
            lost.process.kill()
            lost.wipeDisk()
            site.configure(account("without-disk"))
            lost.process.start()
            awaitThat("a new voter id") { site.voterIdOf(lost) != formerId }
            site.replaceVoter(lost, formerId)
            leader.process.kill()
            site.configure(account("after"))
            expectThat(site.accountNames()).containsExactlyInAnyOrder("before", "without-disk", "after")
            leader.process.start()
            expectThat(site.status().voters).hasSize(3)
        }
    }

    /** Guards against work in a drained failure domain after the leader that accepted the drain has crashed. */
    @Test
    fun `a drain holds when the leader crashes at once`() {
        withSite { site ->
            val inSuva = site.engine("engine-1", "suva")
            val elsewhere = site.engine("engine-2", "nausori")
            site.awaitService()
            awaitThat("work in suva") {
                caller.stream(site.entries[0].callersPort, "x length=2")
                inSuva.stat("started") > 0
            }
            site.configure(SetFailureDomainDrained(FailureDomainId("suva"), true))
            site.leader().process.kill()
            val before = inSuva.stat("started")
            repeat(20) { n ->
                caller.stream(site.entries[n % 2].callersPort, "y$n length=3")
                Thread.sleep(200)
            }
            site.awaitService()
            expectThat(inSuva.stat("started")).isEqualTo(before)
            expectThat(elsewhere.stat("started")).isGreaterThan(0)
        }
    }

    /** Guards against lost or repeated tokens when connections go silent twice while the voters have no leader. */
    @Test
    fun `a stream survives silent connections twice while the leader crashes`() {
        withSite { site ->
            val engine = site.engine("engine-1")
            site.awaitService()
            val stream = beginStream(site.entries[0], "letter length=900")
            site.leader().process.kill()
            engine.proxy.silenceOpenConnections()
            Thread.sleep(3_500)
            engine.proxy.silenceOpenConnections()
            stream.get().expectComplete(900)
        }
    }

    /** Guards against new work on an engine that is being reclaimed, and against streams cut off by a planned stop. */
    @Test
    fun `a leaving engine finishes its stream while the entry VM shuts down`() {
        withSite(voterCount = 1) { site ->
            val leaving = site.engine("engine-1")
            site.awaitService()
            val stream = beginStream(site.entries[0], "letter length=600")
            val other = site.engine("engine-2")
            leaving.act("leave")
            awaitThat("work on the other engine") {
                caller.stream(site.entries[1].callersPort, "x length=2")
                other.stat("started") > 0
            }
            val before = leaving.stat("started")
            site.entries[0].process.terminate()
            repeat(10) { n -> caller.stream(site.entries[1].callersPort, "y$n length=3").expectComplete(3) }
            expectThat(leaving.stat("started")).isEqualTo(before)
            stream.get().expectComplete(600)
            expectThat(site.entries[0].process.exitCode(15_000)).isEqualTo(0)
        }
    }

    /** Guards against tokens that reach another caller when responses are late and streams are resumed together. */
    @Test
    fun `each caller gets its own response over slow connections that are reset`() {
        withSite(voterCount = 1) { site ->
            val engines = (1..3).map { site.engine("engine-$it", "suva", "full_limit=32", "start_limit=16") }
            site.awaitService()
            engines.forEachIndexed { index, engine -> engine.proxy.delayMs = 20L * (index + 1) }
            val pool = Executors.newFixedThreadPool(24)
            val streams = (0 until 24).map { n ->
                CompletableFuture.supplyAsync(
                    { caller.stream(site.entries[n % 2].callersPort, "letter $n length=${150 + n}") },
                    pool,
                )
            }
            repeat(3) {
                Thread.sleep(700)
                engines.forEach { it.proxy.resetOpenConnections() }
            }
            streams.forEachIndexed { n, stream -> stream.get().expectComplete(150 + n) }
            expectThat(streams.flatMap { it.get().generations }.toSet()).hasSize(24)
            pool.shutdownNow()
        }
    }
}
