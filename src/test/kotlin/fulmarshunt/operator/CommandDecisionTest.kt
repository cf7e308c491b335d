/*
 * Decisions on operators' commands when their log entries are applied.
 */
package fulmarshunt.operator

import fulmarshunt.ClientAccountId
import fulmarshunt.CommandId
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.OperatorId
import fulmarshunt.Revision
import fulmarshunt.sha256Hex
import fulmarshunt.voter.AddFirstOperator
import fulmarshunt.voter.ApplyCommand
import fulmarshunt.voter.CommandReply
import fulmarshunt.voter.ControlState
import fulmarshunt.voter.apply
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.startsWith

private val admin = OperatorId("admin")
private val adminHash = sha256Hex("k")

/** Applies commands in order, as a voter does. */
private class Replica {
    var state = ControlState()
        private set
    private var index = 0L

    init {
        state = state.apply(LogIndex(++index), listOf(AddFirstOperator(admin, adminHash))).state
    }

    fun submit(
        id: String,
        revision: Long,
        vararg changes: ConfigurationChange,
        operator: OperatorId = admin,
        key: String = "k",
    ): CommandOutcome {
        val command = OperatorCommand(CommandId(id), operator, Revision(revision), changes.toList())
        val content = sha256Hex(command.toString())
        val submitted = SubmittedCommand(command, sha256Hex(key), content, 1_000)
        val applied = state.apply(LogIndex(++index), listOf(ApplyCommand(submitted)))
        state = applied.state
        return (applied.replies.single() as CommandReply).outcome
    }
}

private fun account(id: String, key: String = id) = ClientAccount(ClientAccountId(id), sha256Hex(key))

private val suva = PutFailureDomain(FailureDomain(FailureDomainId("suva")))

class CommandDecisionTest {
    /** Guards against two changes being accepted on top of the same revision. */
    @Test
    fun `the second of two commands with equal revisions is a conflict`() {
        val replica = Replica()
        expectThat(replica.submit("a", 1, suva)).isA<OutcomeAccepted>().get { revision }.isEqualTo(Revision(2))
        expectThat(replica.submit("b", 1, SetFailureDomainDrained(FailureDomainId("suva"), true)))
            .isEqualTo(OutcomeConflict(Revision(2)))
        expectThat(replica.state.shared.configuration.domains.getValue(FailureDomainId("suva")).isDrained)
            .isEqualTo(false)
    }

    /** Guards against a resent command being applied twice, or conflicting with itself. */
    @Test
    fun `a resent command gets its first outcome`() {
        val replica = Replica()
        val first = replica.submit("a", 1, suva)
        replica.submit("b", 2, PutClientAccount(account("acme")))
        expectThat(replica.submit("a", 1, suva)).isEqualTo(first)
        expectThat(replica.submit("a", 1, PutClientAccount(account("acme")))).isA<OutcomeRefused>()
            .get { reason }.startsWith("id:")
        expectThat(replica.state.history.audit.values).hasSize(2)
    }

    /** Guards against a resend being accepted although the first outcome of the command was a conflict. */
    @Test
    fun `a resent command with a conflict remains a conflict`() {
        val replica = Replica()
        replica.submit("a", 7, suva)
        expectThat(replica.submit("a", 7, suva)).isEqualTo(OutcomeConflict(Revision(1)))
    }

    /** Guards against a command being accepted whose operator was revoked between receipt and apply. */
    @Test
    fun `a command of a revoked operator is refused at apply`() {
        val replica = Replica()
        val bob = Operator(OperatorId("bob"), sha256Hex("b"), setOf(Permission.CONFIGURE))
        replica.submit("a", 1, PutOperator(bob))
        replica.submit("b", 2, RemoveOperator(bob.id))
        expectThat(replica.submit("c", 3, suva, operator = bob.id, key = "b")).isA<OutcomeRefused>()
            .get { reason }.startsWith("operator:")
        expectThat(replica.state.shared.configuration.revision).isEqualTo(Revision(3))
    }

    /** Guards against changes without the required permission, and against a wrong key. */
    @Test
    fun `permissions and keys are checked`() {
        val replica = Replica()
        val bob = Operator(OperatorId("bob"), sha256Hex("b"), setOf(Permission.CONFIGURE))
        replica.submit("a", 1, suva, PutOperator(bob))
        val drain = SetFailureDomainDrained(FailureDomainId("suva"), true)
        expectThat(replica.submit("b", 2, drain, operator = bob.id, key = "b")).isA<OutcomeRefused>()
            .get { reason }.contains("\"operate\"")
        expectThat(replica.submit("c", 2, drain, key = "wrong")).isA<OutcomeRefused>()
    }

    /** Guards against a cluster without an administrator, and against reasons that do not name the field. */
    @Test
    fun `refusals of invalid changes name the field`() {
        val replica = Replica()
        fun refusal(id: String, vararg changes: ConfigurationChange) =
            (replica.submit(id, 2, *changes) as OutcomeRefused).reason
        replica.submit("a", 1, PutClientAccount(account("acme")))
        expectThat(refusal("b", RemoveOperator(admin))).startsWith("operators:")
        expectThat(refusal("c", PutClientAccount(account("other", "acme"))))
            .startsWith("changes[0].account.keySha256:")
        expectThat(refusal("d", suva, PutClientAccount(account("x").copy(weight = 0.0))))
            .startsWith("changes[1].account.weight:")
        expectThat(refusal("e", SetFailureDomainDrained(FailureDomainId("nowhere"), true)))
            .startsWith("changes[0].id:")
        expectThat(refusal("f")).startsWith("changes:")
        // The key of an account is available again once the same command has removed the account.
        expectThat(
            replica.submit(
                "g",
                2,
                RemoveClientAccount(ClientAccountId("acme")),
                PutClientAccount(account("other", "acme")),
            ),
        ).isA<OutcomeAccepted>()
    }

    /** Guards against secrets in the audit trail, and against its unbounded growth. */
    @Test
    fun `audit records are bounded and contain no key hash`() {
        val replica = Replica()
        replica.submit("a", 1, PutClientAccount(account("acme")))
        val record = replica.state.history.audit.values.single()
        expectThat(record.toString().contains(account("acme").keySha256)).isEqualTo(false)
        val history =
            (1L..5L).fold(CommandHistory()) { history, n -> history.withAudit(record.copy(index = LogIndex(n)), 3) }
        expectThat(history.firstKept).isEqualTo(LogIndex(3))
    }
}
