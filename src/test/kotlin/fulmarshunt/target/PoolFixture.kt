/*
 * Helper functions to create pools, announcements and requests, shared by the tests of this package.
 */
package fulmarshunt.target

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
import fulmarshunt.entry.AdmissionRequest
import fulmarshunt.entry.Granted
import fulmarshunt.entry.LostAttempt
import fulmarshunt.entry.Rejected
import kotlin.random.Random

internal fun announcement(
    target: String = "t1",
    incarnation: Long = 1,
    startLimit: Int = 1,
    fullLimit: Int = 64,
    memoryTokens: Long = 100_000,
    load: TargetLoad = TargetLoad(),
    leaving: Boolean = false,
    services: List<String> = listOf("m"),
    cacheEvents: List<CacheEvent> = emptyList(),
) = TargetAnnouncement(
    target = TargetId(target),
    address = Address("127.0.0.1", 1),
    incarnation = Incarnation(incarnation),
    domain = FailureDomainId("d"),
    kind = TargetKind.ENGINE,
    services = services.map(::ServiceId),
    memoryTokens = memoryTokens,
    startLimit = startLimit,
    fullLimit = fullLimit,
    leaving = leaving,
    load = load,
    cacheEvents = cacheEvents,
)

internal fun request(
    ticket: String,
    account: String = "a",
    promptTokens: Int = 10,
    maxOutputTokens: Int = 1_000,
    fingerprint: String = ticket,
    vm: String = "vm1",
    maxWaitMs: Long = 60_000,
    prefixHashes: List<Long> = emptyList(),
    excluded: List<String> = emptyList(),
    lostAt: List<String> = emptyList(),
) = AdmissionRequest(
    ticket = TicketId(ticket),
    vm = VmId(vm),
    account = ClientAccountId(account),
    service = ServiceId("m"),
    promptTokens = promptTokens,
    maxOutputTokens = maxOutputTokens,
    prefixHashes = prefixHashes,
    fingerprint = Fingerprint(fingerprint),
    maxWaitMs = maxWaitMs,
    excluded = (excluded + lostAt).map(::TargetId),
    lost = lostAt.map { LostAttempt(PoolId("d/0"), TargetInstance(TargetId(it), Incarnation(1))) },
)

internal fun pool(
    settlingUntilMs: Long = -10_000,
    policies: PoolPolicies = poolPolicies().getOrNull()!!,
    seed: Long = 1,
): Pool = poolOf(PoolId("d/0"), FencingNumber(7), settlingUntilMs, policies, Random(seed))

internal fun List<PoolEffect>.granted(): Map<String, String> = filterIsInstance<SendAdmissionReply>()
    .mapNotNull { decide -> (decide.reply as? Granted)?.let { decide.ticket.value to it.target.value } }
    .toMap()

internal fun List<PoolEffect>.rejected(): Map<String, Rejected> = filterIsInstance<SendAdmissionReply>()
    .mapNotNull { decide -> (decide.reply as? Rejected)?.let { decide.ticket.value to it } }
    .toMap()

internal fun Pool.target(name: String): TargetView = view().targets.single { it.target.value == name }

internal fun Pool.inFlight(name: String): Int = target(name).inFlight
