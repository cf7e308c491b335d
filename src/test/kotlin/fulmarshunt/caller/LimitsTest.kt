/*
 * The limits of client accounts and of retries, and the checks before admission.
 */
package fulmarshunt.caller

import fulmarshunt.ClientAccountId
import fulmarshunt.Fingerprint
import fulmarshunt.ServiceId
import fulmarshunt.entry.SharedState
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.Configuration
import fulmarshunt.operator.Service
import fulmarshunt.operator.ServiceKind
import fulmarshunt.sha256Hex
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class LimitsTest {
    private val id = ClientAccountId("a")

    /** Guards against an account that exceeds its rate, and against a wait that is too short to help. */
    @Test
    fun `the rate allows one second of burst and then refills`() {
        val account = ClientAccount(id, "", maxRequestsPerSecond = 4.0)
        val limits = AccountLimits(capacity = 100)
        repeat(4) { expectThat(limits.enter(account, 0)).isNull() }
        val problem = limits.enter(account, 0)
        expectThat(problem?.kind).isEqualTo(ProblemKind.RATE_LIMITED)
        expectThat(problem?.retryAfterMs).isEqualTo(250)
        expectThat(limits.enter(account, 250)).isNull()
    }

    /** Guards against one account that occupies the entry VM, and against requests that are counted after their end. */
    @Test
    fun `concurrent requests are limited until one ends`() {
        val account = ClientAccount(id, "", maxConcurrentRequests = 2)
        val limits = AccountLimits(capacity = 100)
        repeat(2) { limits.enter(account, 0) }
        expectThat(limits.enter(account, 0)?.kind).isEqualTo(ProblemKind.RATE_LIMITED)
        limits.leave(id)
        expectThat(limits.enter(account, 0)).isNull()
    }

    /** Guards against an entry VM that admits more requests than its memory allows and breaks all of them. */
    @Test
    fun `requests of all accounts are limited by the memory`() {
        val limits = AccountLimits(capacity = 3)
        repeat(3) { expectThat(limits.enter(ClientAccount(ClientAccountId("b$it"), ""), 0)).isNull() }
        val problem = limits.enter(ClientAccount(id, ""), 0)
        expectThat(problem?.kind).isEqualTo(ProblemKind.OVERLOADED)
        expectThat(problem?.ran).isEqualTo(RunState.NOT_RUN)
        limits.leave(ClientAccountId("b0"))
        expectThat(limits.enter(ClientAccount(id, ""), 0)).isNull()
        expectThat(requestCapacity(64L shl 20)).isEqualTo(213)
        expectThat(requestCapacity(1)).isEqualTo(16)
    }

    /** Guards against a retry storm after the loss of a failure domain. */
    @Test
    fun `retries are limited per account and in total and earned by successes`() {
        val budgets = RetryBudgets()
        expectThat((1..100).count { budgets.tryTake(id) }).isEqualTo(10)
        repeat(11) { budgets.earn(id) }
        expectThat(budgets.tryTake(id)).isTrue()
        expectThat(budgets.tryTake(id)).isFalse()
        val others = (1..100).count { budgets.tryTake(ClientAccountId("b$it")) }
        expectThat(others).isEqualTo(40)
    }

    /** Guards against a key hash that is accepted as a key, and against a stale index after a change. */
    @Test
    fun `keys are found by their hash in the current accounts`() {
        var accounts = mapOf(id to ClientAccount(id, sha256Hex("key-1")))
        val authenticate = authenticationBy { accounts }
        expectThat(authenticate("key-1")).isEqualTo(id)
        expectThat(authenticate(accounts.getValue(id).keySha256)).isNull()
        accounts = mapOf(id to ClientAccount(id, sha256Hex("key-2")))
        expectThat(authenticate("key-1")).isNull()
    }

    /** Guards against a request that crashes targets being run again. */
    @Test
    fun `unknown services and quarantined content are refused`() {
        val letters = ServiceId("letters")
        val state =
            SharedState(
                configuration = Configuration(services = mapOf(letters to Service(letters, ServiceKind.MODEL))),
                quarantine = mapOf(Fingerprint("bad") to 1L),
            )
        fun check(service: ServiceId, fingerprint: String) =
            state.problemOrNull(service, ServiceKind.MODEL, Fingerprint(fingerprint))?.kind
        expectThat(check(letters, "good")).isNull()
        expectThat(check(letters, "bad")).isEqualTo(ProblemKind.QUARANTINED)
        expectThat(check(ServiceId("other"), "good")).isEqualTo(ProblemKind.UNKNOWN_SERVICE)
    }

    /** Guards against a report for every token and against slow generations that are never reported. */
    @Test
    fun `progress is reported when tokens have doubled and after a second`() {
        val schedule = ProgressSchedule(0)
        val reports = (1..100).mapNotNull { schedule.onToken(it * 5L)?.tokens }
        expectThat(reports).isEqualTo(listOf(16, 32, 64))
        expectThat(schedule.onToken(1_400)?.tokens).isEqualTo(101)
    }
}
