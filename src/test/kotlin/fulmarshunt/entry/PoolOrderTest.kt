/*
 * The order in which pools are tried, and the check of a grant directly before its use.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.FencingNumber
import fulmarshunt.Fingerprint
import fulmarshunt.Incarnation
import fulmarshunt.PoolId
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.TicketId
import fulmarshunt.VmId
import fulmarshunt.operator.Configuration
import fulmarshunt.operator.FailureDomain
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

internal val suva = FailureDomainId("suva")
internal val nausori = FailureDomainId("nausori")
internal val lautoka = FailureDomainId("lautoka")

internal fun domains(vararg domains: FailureDomain): Configuration =
    Configuration(domains = domains.associateBy { it.id })

internal fun admissionRequest(ticket: String = "r.1", maxWaitMs: Long = 1_000): AdmissionRequest = AdmissionRequest(
    ticket = TicketId(ticket),
    vm = VmId("entry-1"),
    account = ClientAccountId("a"),
    service = ServiceId("letters"),
    promptTokens = 10,
    maxOutputTokens = 100,
    fingerprint = Fingerprint("f"),
    maxWaitMs = maxWaitMs,
)

internal fun granted(fence: Long = 1): Granted =
    Granted(TargetId("e1"), Address("127.0.0.1", 1), Incarnation(1), FencingNumber(fence), 0, 100)

class PoolOrderTest {
    /** Guards against new work in a drained failure domain and against avoidable round trips. */
    @Test
    fun `the own domain comes first, drained ones are skipped and the others are ordered by wait`() {
        val configuration =
            domains(FailureDomain(suva), FailureDomain(nausori), FailureDomain(lautoka))
        val observations = mapOf(poolId(lautoka, 0) to PoolObservation(waitMs = 400.0, observedAtMs = 1_000))
        fun order(configuration: Configuration) =
            configuration.poolOrder(nausori, admissionRequest(), observations, 1_000).map { domainOf(it) }
        expectThat(order(configuration)).isEqualTo(listOf(nausori, suva, lautoka))
        val drained = configuration.copy(
            domains = configuration.domains + (nausori to FailureDomain(nausori, isDrained = true)),
        )
        expectThat(order(drained)).isEqualTo(listOf(suva, lautoka))
    }

    /** Guards against requests with the same prefix that are spread over shards and miss the prefix cache. */
    @Test
    fun `the same prefix is sent to the same shard`() {
        val configuration = domains(FailureDomain(suva, shards = 4))
        fun first(prefix: Long, fingerprint: String) = configuration.poolOrder(
            suva,
            admissionRequest().copy(prefixHashes = listOf(prefix), fingerprint = Fingerprint(fingerprint)),
            emptyMap(),
            0,
        ).first()
        expectThat(first(7, "x")).isEqualTo(first(7, "y"))
        expectThat((1L..50L).map { first(it, "x") }.toSet().size).isEqualTo(4)
    }

    /** Guards against the use of a stale grant: too old, no lease, drained, or granted by a former owner. */
    @Test
    fun `a grant is used only while nothing has changed`() {
        val pool = PoolId("suva/0")
        val state =
            SharedState(
                configuration = domains(FailureDomain(suva)),
                pools = mapOf(pool to PoolOwner(VmId("entry-1"), FencingNumber(1))),
            )
        val grant = PlacedGrant(pool, admissionRequest(), granted(), receivedAtMs = 0)
        expectThat(grant.invalidReasonOrNull(state, true, GRANT_VALID_MS - 1)).isNull()
        expectThat(grant.invalidReasonOrNull(state, true, GRANT_VALID_MS)).isNotNull()
        expectThat(grant.invalidReasonOrNull(state, false, 0)).isNotNull()
        expectThat(grant.copy(granted = granted(fence = 2)).invalidReasonOrNull(state, true, 0)).isNotNull()
        val drained = state.copy(configuration = domains(FailureDomain(suva, isDrained = true)))
        expectThat(grant.invalidReasonOrNull(drained, true, 0)).isNotNull()
        val targetDrained =
            state.copy(configuration = state.configuration.copy(drainedTargets = setOf(TargetId("e1"))))
        expectThat(grant.invalidReasonOrNull(targetDrained, true, 0)).isNotNull()
    }
}
