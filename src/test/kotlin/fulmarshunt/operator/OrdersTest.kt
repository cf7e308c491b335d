/*
 * The `orders` program against a fake of control: results, exit codes, lost replies and leader hints.
 */
package fulmarshunt.operator

import fulmarshunt.Address
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.TargetId
import fulmarshunt.operator.cli.runOrders
import fulmarshunt.process.Secret
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.first
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import strikt.assertions.single
import java.io.IOException
import java.nio.file.Path

class OrdersTest {
    @TempDir
    lateinit var directory: Path

    private val control = FakeControl().also {
        val suva = FailureDomain(FailureDomainId("suva"))
        it.configuration = it.configuration.with(PutFailureDomain(suva))
    }
    private val recorded = RecordedConsole()

    @AfterEach
    fun close() = control.close()

    private fun orders(addresses: List<Address>, vararg args: String): Int {
        val settings = writeOperatorSettings(directory, addresses)
        return runOrders(listOf("--settings", "$settings") + args, recorded.console, testEnvironment).number
    }

    /** Guards against an order reported as done without a change, and against a second submission. */
    @Test
    fun `a failure domain is drained once`() {
        val address = runBlocking { control.listen() }
        expectThat(orders(listOf(address), "take-out", "domain", "suva")).isEqualTo(0)
        expectThat(control.configuration.domains.values.single().isDrained).isTrue()
        expectThat(recorded.text).contains("revision 2; in effect everywhere")
        expectThat(orders(listOf(address), "take-out", "domain", "suva")).isEqualTo(0)
        expectThat(control.submissions).hasSize(1)
    }

    /** Guards against a second command id after the reply to the first submission was lost. */
    @Test
    fun `after a lost reply, the command is resent with the same id to another address`() {
        var lost = 0
        val addresses = runBlocking {
            val first = control.listen { call, links ->
                if (call is SubmitCommand) {
                    lost++
                    control.handle(call)
                    links.close()
                    awaitCancellation()
                }
                null
            }
            listOf(first, control.listen())
        }
        expectThat(orders(addresses, "take-out", "target", "engine-7")).isEqualTo(0)
        expectThat(lost).isEqualTo(1)
        expectThat(control.submissions.map { it.id }.distinct()).hasSize(1)
        expectThat(control.submissions).hasSize(2)
        expectThat(control.configuration.revision.value).isEqualTo(2)
        expectThat(control.configuration.drainedTargets).containsExactly(TargetId("engine-7"))
    }

    /** Guards against a command that cannot be resent safely after the program has reached its deadline. */
    @Test
    fun `a command without a reply can be resent by its id and revision`() {
        val silent = runBlocking {
            control.listen { call, _ ->
                if (call is SubmitCommand) {
                    control.handle(call)
                    OutcomeUnknown("leadership was lost")
                } else {
                    null
                }
            }
        }
        val order = arrayOf("take-out", "domain", "suva")
        expectThat(orders(listOf(silent), "--deadline-ms", "300", "--wait-ms", "0", *order)).isEqualTo(3)
        expectThat(recorded.problems).single().contains("the outcome is unknown: leadership was lost")
        val hint = recorded.problems.single().substringAfter("add ").split(' ').toTypedArray()
        val address = runBlocking { control.listen() }
        expectThat(orders(listOf(address), *hint, *order)).isEqualTo(0)
        expectThat(control.configuration.revision.value).isEqualTo(2)
        expectThat(recorded.lines).any { contains("accepted as revision 2") }
    }

    /** Guards against a client that knows only followers and does not call the leader that they name. */
    @Test
    fun `the client calls the leader that a follower names`() {
        val follower = runBlocking {
            val leader = control.listen()
            control.listen { _, _ -> OperatorNotLeader(leader) }
        }
        expectThat(orders(listOf(follower), "status")).isEqualTo(0)
        expectThat(recorded.lines).first().isEqualTo("revision 1, applied index 9")
    }

    /** Guards against a tight loop of calls to two followers, each of which names the other as the leader. */
    @Test
    fun `circular leader hints result in unreachable after a bounded number of calls`() {
        lateinit var second: Address
        val first = runBlocking {
            val address = control.listen { _, _ -> OperatorNotLeader(second) }
            second = control.listen { _, _ -> OperatorNotLeader(address) }
            address
        }
        expectThat(orders(listOf(first), "--deadline-ms", "500", "status")).isEqualTo(3)
        expectThat(control.calls.size < 20).isTrue()
    }

    /** Guards against a conflict being resubmitted over another operator's change without notice. */
    @Test
    fun `a conflict shows what changed and ends with code 1`() {
        val address = runBlocking {
            control.listen { call, _ ->
                if (call is SubmitCommand) {
                    val other = OperatorCommand(
                        newCommandId(),
                        testOperator,
                        control.configuration.revision,
                        listOf(SetTargetDrained(TargetId("engine-9"), true)),
                    )
                    control.handle(SubmitCommand(testOperator, Secret(OPERATOR_KEY), other, 0))
                }
                null
            }
        }
        expectThat(orders(listOf(address), "take-out", "domain", "suva")).isEqualTo(1)
        expectThat(recorded.lines).any { isEqualTo("changed meanwhile: + drained target engine-9") }
        expectThat(recorded.problems).single().contains("based on revision 1, but the current one is 2")
    }

    /** Guards against exit codes that do not distinguish refusals from unreachable control. */
    @Test
    fun `refusals, usage errors and unreachable control have distinct exit codes`() {
        val address = runBlocking { control.listen() }
        expectThat(orders(listOf(address), "take-out", "domain", "suav")).isEqualTo(1)
        expectThat(orders(listOf(address), "take-out", "shelf", "suva")).isEqualTo(2)
        expectThat(orders(listOf(address), "--expected-revision", "3", "take-out", "domain", "suva")).isEqualTo(2)
        expectThat(orders(listOf(Address("127.0.0.1", 1)), "--deadline-ms", "300", "status")).isEqualTo(3)
        expectThat(recorded.problems.last()).contains("control is unreachable and nothing was done")
        expectThat(control.submissions).isEmpty()
    }

    /** Guards against output that is not valid JSON, and against the operator's key in any output. */
    @Test
    fun `JSON output is one object and contains no key`() {
        val address = runBlocking { control.listen() }
        expectThat(orders(listOf(address), "--output", "json", "bring-back", "domain", "suva")).isEqualTo(0)
        expectThat(orders(listOf(address), "configuration", "--output", "json")).isEqualTo(0)
        expectThat(recorded.lines[0]).isEqualTo("""{"result":"nothing-to-do","revision":1}""")
        expectThat(recorded.lines[1]).contains("\"result\":\"configuration\"")
        expectThat(recorded.text).not().contains(OPERATOR_KEY)
    }

    /** Guards against reporting "nothing was done" when control executed the command and then failed to reply. */
    @Test
    fun `a call without a reply because control failed may have run`() {
        val address = runBlocking {
            control.listen { call, _ ->
                if (call is SubmitCommand) {
                    control.handle(call)
                    throw IOException("the answer cannot be written")
                }
                null
            }
        }
        expectThat(orders(listOf(address), "--deadline-ms", "300", "take-out", "domain", "suva")).isEqualTo(3)
        expectThat(recorded.problems).single().contains("the outcome is unknown")
    }

    /** Guards against an audit trail that seems complete although its oldest records were removed. */
    @Test
    fun `the audit trail states which records are kept`() {
        val address = runBlocking { control.listen { _, _ -> AuditReply(emptyList(), LogIndex(7)) } }
        expectThat(orders(listOf(address), "audit")).isEqualTo(0)
        expectThat(recorded.text).contains("kept from entry 7 on")
    }

    /** Guards against a voter change that is sent twice because the first reply was lost. */
    @Test
    fun `a voter change without a reply is not resent`() {
        val address = runBlocking { control.listen { _, _ -> OutcomeUnknown("leadership was lost") } }
        val code = orders(listOf(address), "remove-voter", "--leaving", "control-suva:1")
        expectThat(code).isEqualTo(3)
        expectThat(control.calls).hasSize(1)
    }
}
