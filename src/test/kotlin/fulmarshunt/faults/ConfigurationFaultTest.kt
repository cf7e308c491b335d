/*
 * Accepted configurations under failures of voters and concurrent commands of operators, with real voters and entry VMs
 * behind fault-injecting proxies.
 */
package fulmarshunt.faults

import fulmarshunt.ClientAccountId
import fulmarshunt.CommandId
import fulmarshunt.FailureDomainId
import fulmarshunt.operator.CallRefused
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.CommandAccepted
import fulmarshunt.operator.CommandConflict
import fulmarshunt.operator.Configuration
import fulmarshunt.operator.ConfigurationReply
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.PutFailureDomain
import fulmarshunt.operator.ReadConfiguration
import fulmarshunt.sha256Hex
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.io.File
import java.util.concurrent.Callable
import java.util.concurrent.Executors

private fun domain(name: String) = PutFailureDomain(FailureDomain(FailureDomainId(name)))

private fun account(name: String) = PutClientAccount(ClientAccount(ClientAccountId(name), sha256Hex(name)))

@Timeout(TEST_LIMIT_S)
class ConfigurationFaultTest {
    @TempDir
    lateinit var directory: File

    private fun withSite(entryCount: Int = 1, block: (Site) -> Unit) {
        Site(directory, entryCount = entryCount).use { site ->
            site.start()
            block(site)
        }
    }

    private fun Site.configuration(): Configuration = eventually("a read of the configuration") {
        (ask(ReadConfiguration(Site.OPERATOR, Site.OPERATOR_KEY)) as? ConfigurationReply)?.configuration
    }

    /** Guards against an accepted command that is lost, or reverts, when the leader crashes right after its reply. */
    @Test
    fun `accepted changes survive the crash of each leader`() {
        withSite { site ->
            site.configure(domain("suva"))
            repeat(3) { round ->
                val leader = site.leader()
                val revision = site.configure(account("account-$round"))
                leader.process.kill()
                val after = site.configuration()
                expectThat(after.revision).isGreaterThanOrEqualTo(revision)
                expectThat(after.accounts[ClientAccountId("account-$round")]).isNotNull()
                leader.process.start()
            }
            expectThat(site.configuration().accounts.values).hasSize(3)
        }
    }

    /** Guards against two operators that both succeed with the same expected revision. */
    @Test
    fun `exactly one of several racing commands is accepted`() {
        withSite { site ->
            site.configure(domain("suva"))
            val pool = Executors.newFixedThreadPool(6)
            repeat(5) { round ->
                val revision = site.currentRevision()
                val tasks = (1..6).map { n -> Callable { site.submit(revision, listOf(account("r$round-$n"))) } }
                val replies = pool.invokeAll(tasks).map { it.get() }
                expectThat(replies).filterIsInstance<CommandAccepted>().hasSize(1)
                expectThat(replies).filterIsInstance<CommandConflict>().hasSize(5)
            }
            pool.shutdownNow()
        }
    }

    /** Guards against a resent command that takes effect twice or gets a different reply. */
    @Test
    fun `a resent command gets the first reply and other content under its id is refused`() {
        withSite { site ->
            val revision = site.currentRevision()
            val id = CommandId("resent")
            val first = site.submit(revision, listOf(account("a")), id) as CommandAccepted
            val leader = site.leader()
            leader.process.kill()
            val second =
                eventually("the second reply") { site.submit(revision, listOf(account("a")), id) as? CommandAccepted }
            expectThat(second.revision).isEqualTo(first.revision)
            expectThat(site.submit(revision, listOf(account("b")), id)).isA<CallRefused>()
            expectThat(site.configuration().accounts[ClientAccountId("b")]).isNull()
        }
    }

    /** Guards against a leader that accepts commands, or serves reads, while it is silently isolated. */
    @Test
    fun `an isolated leader accepts nothing and does not disturb the others when it returns`() {
        withSite { site ->
            site.configure(domain("suva"))
            val isolated = site.leader()
            site.isolate(isolated.name, isCut = true)
            val revision = site.configure(account("while-isolated"))
            site.isolate(isolated.name, isCut = false)
            Thread.sleep(3_000)
            val after = site.configuration()
            expectThat(after.revision).isEqualTo(revision)
            expectThat(after.accounts[ClientAccountId("while-isolated")]).isNotNull()
        }
    }

    /** Guards against a frozen leader that serves stale state when it resumes. */
    @Test
    fun `a leader that resumes after a freeze serves no stale configuration`() {
        withSite { site ->
            site.configure(domain("suva"))
            val frozen = site.leader()
            frozen.process.freeze()
            val revision = site.configure(account("while-frozen"))
            frozen.process.thaw()
            repeat(20) {
                val reply = site.askOnce(
                    frozen,
                    ReadConfiguration(Site.OPERATOR, Site.OPERATOR_KEY),
                ).getOrNull()
                if (reply is ConfigurationReply) {
                    expectThat(reply.configuration.revision).isGreaterThanOrEqualTo(revision)
                }
                Thread.sleep(50)
            }
        }
    }

    /** Guards against loss or a slow restart when every voter restarts with hundreds of changes in its log. */
    @Test
    fun `all voters restart with hundreds of changes`() {
        withSite { site ->
            var revision = site.configure(domain("suva"))
            repeat(400) { number ->
                val reply = site.submit(revision, listOf(account("c$number")), waitInEffectMs = 0)
                revision = (reply as? CommandAccepted)?.revision ?: site.configure(account("c$number"))
            }
            site.voters.forEach { it.process.kill() }
            site.voters.forEach { it.process.start() }
            val after = site.configuration()
            expectThat(after.revision).isEqualTo(revision)
            expectThat(after.accounts.values).hasSize(400)
        }
    }

    /** Guards against a reply "in effect" while an entry VM with a lease still follows the old configuration. */
    @Test
    fun `a command is in effect although one entry VM is frozen`() {
        withSite(entryCount = 2) { site ->
            site.configure(domain("suva"))
            site.awaitReady()
            site.entries[0].process.freeze()
            val reply = site.submit(site.currentRevision(), listOf(account("a")))
            expectThat(reply).isA<CommandAccepted>().get { isInEffect }.isTrue()
            site.entries[0].process.thaw()
        }
    }
}
