/*
 * Claims of calls that must run at most once.
 */
package fulmarshunt.caller

import fulmarshunt.ClientAccountId
import fulmarshunt.Fingerprint
import fulmarshunt.IdempotencyKey
import fulmarshunt.TicketId
import fulmarshunt.VmId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class ClaimTableTest {
    private var table = ClaimTable()
    private var limits = ClaimLimits()

    private fun key(name: String) = ClaimKey(ClientAccountId("acme"), IdempotencyKey(name))

    private fun apply(call: ClaimCall, nowMs: Long = 0): ClaimReply {
        val (next, reply) = table.expire(nowMs).apply(call, nowMs, limits)
        table = next
        return reply
    }

    private fun record(ticket: String, name: String = "k", fingerprint: String = "f") =
        RecordClaim(key(name), Fingerprint(fingerprint), VmId("vm"), TicketId(ticket))

    private fun finish(ticket: String, name: String = "k", bytes: Int = 3) =
        FinishClaim(key(name), TicketId(ticket), RecordedResponse(200, "text/plain", ByteArray(bytes)))

    /** Guards against a second run of a call by a retry through another VM, before and after its response is known. */
    @Test
    fun `a retry never gets a second claim`() {
        expectThat(apply(record("t1"))).isEqualTo(Claimed)
        expectThat(apply(record("t1"))).isEqualTo(Claimed)
        expectThat(apply(record("t2"))).isEqualTo(AlreadyClaimed)
        expectThat(apply(finish("t2"))).isEqualTo(AlreadyClaimed)
        expectThat(apply(finish("t1"))).isEqualTo(ClaimRecorded)
        expectThat(apply(finish("t1"))).isEqualTo(ClaimRecorded)
        expectThat(apply(record("t2"))).isA<AlreadyAnswered>().get { response.body?.size }.isEqualTo(3)
        expectThat(apply(record("t1"))).isA<AlreadyAnswered>()
        expectThat(apply(record("t3", fingerprint = "g"))).isEqualTo(KeyReused)
    }

    /** Guards against a late withdrawal that frees the claim of another attempt or of a finished call. */
    @Test
    fun `only the claimant of an unfinished call can withdraw`() {
        apply(record("t1"))
        expectThat(apply(WithdrawClaim(key("k"), TicketId("t2")))).isEqualTo(AlreadyClaimed)
        expectThat(apply(WithdrawClaim(key("k"), TicketId("t1")))).isEqualTo(ClaimRecorded)
        expectThat(apply(record("t2"))).isEqualTo(Claimed)
        expectThat(apply(WithdrawClaim(key("k"), TicketId("t1")))).isEqualTo(AlreadyClaimed)
        apply(finish("t2"))
        expectThat(apply(WithdrawClaim(key("k"), TicketId("t2")))).isA<AlreadyAnswered>()
    }

    /** Guards against unbounded growth and against a full table that loses the response to a claimed call. */
    @Test
    fun `a full table refuses claims and keeps outcomes`() {
        limits = ClaimLimits(maxClaims = 2, maxBytes = 1_000)
        expectThat(apply(record("t1", "a"))).isEqualTo(Claimed)
        expectThat(apply(record("t2", "b"))).isEqualTo(Claimed)
        expectThat(apply(record("t3", "c"))).isEqualTo(ClaimsFull)
        apply(finish("t1", "a", bytes = 2_000))
        expectThat(apply(record("t4", "a"))).isA<AlreadyAnswered>().get { response.body }.isNull()
        expectThat(apply(record("t3", "c"), CLAIM_RETENTION_MS)).isEqualTo(Claimed)
        expectThat(table.claims.keys).isEqualTo(setOf(key("c")))
        apply(WithdrawClaim(key("c"), TicketId("t3")))
        expectThat(table.sizeBytes).isEqualTo(0)
    }
}
