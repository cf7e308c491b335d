/*
 * Decides what becomes of a request before it is sent to a target: it is routed, its client account is looked up, and
 * it is refused if it must not or cannot be served.
 */
package fulmarshunt.caller.relay

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import fulmarshunt.Fingerprint
import fulmarshunt.caller.fingerprintOf
import fulmarshunt.operator.serving.AccountKeys
import fulmarshunt.operator.serving.Route
import fulmarshunt.operator.serving.RoutingTable
import fulmarshunt.operator.serving.serviceFor
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** The delay after which a caller is told to retry while there is no configuration yet. */
private const val NO_CONFIGURATION_RETRY_MS = 800L

/** How long a request waits for the first configuration: a fraction of its caller timeout, up to a maximum. */
private const val CONFIGURATION_WAIT_FRACTION = 0.4
private const val MAX_CONFIGURATION_WAIT_MS = 3_000L

private val LONG_BODY_TAG = "long-body".encodeToByteArray()
private val BODY_BEGINNING_TAG = "body-beginning".encodeToByteArray()

/** Admits requests, and learns from those that have ended. Confined to the traffic thread. */
internal class RequestAdmission(private val dependencies: RelayDependencies) {
    private val log = LogManager.getLogger(RequestAdmission::class.java)
    private val outputEstimates = OutputEstimates()
    private val callerTimeouts = CallerTimeoutHistory()
    private val durations = DurationEstimates()

    /** Waits for the first configuration of a new process, which arrives sooner than the caller would retry. */
    private suspend fun awaitConfiguration(request: CallerRequest) {
        if (dependencies.views.value.table != null || dependencies.plannedStop.hasBegun) return
        val limitMs = ((request.metadata.callerTimeoutMs ?: 0) * CONFIGURATION_WAIT_FRACTION).toLong()
        withTimeoutOrNull(limitMs.coerceAtMost(MAX_CONFIGURATION_WAIT_MS)) {
            dependencies.views.first { it.table != null }
        }
    }

    /** Returns the job for [request], or the response if it must not be sent to a target. */
    suspend fun admit(request: CallerRequest): Either<LocalResponse, RelayJob> {
        awaitConfiguration(request)
        val table = dependencies.views.value.table
            ?: return notRun("no configuration has arrived yet", NO_CONFIGURATION_RETRY_MS).left()
        val host = request.head.headers().get(HttpHeaderNames.HOST).substringBefore(':')
        val route = table.routeOrNull(host, request.path)
            ?: return LocalResponse(HttpResponseStatus.NOT_FOUND, "no route matches the host and path").left()
        val account = accountOf(table, route, request.metadata.apiKey)
            .getOrElse { return it.left() }
        val id =
            request.metadata.id ?: return LocalResponse(HttpResponseStatus.BAD_REQUEST, "the request has no id").left()
        val service = table.serviceOrNull(route.serviceFor(dependencies.nextRandom()))
            ?: return notRun("the service of the route is not defined").left()
        val callerTimeoutMs = minOf(request.metadata.callerTimeoutMs ?: route.timeoutMs, route.timeoutMs)
        val job = RelayJob(
            request,
            id,
            route,
            service,
            account?.account,
            account?.rank ?: route.rank,
            crashCausesOf(request, account),
            request.arrivedAtMs + callerTimeoutMs,
            request.arrivedAtMs + route.objectiveMs -
                callerTimeouts.elapsedBeforeMs(route, request.metadata.callerTimeoutMs),
            request.metadata.generation?.let { outputEstimates.expectedTokens(route.name, it) } ?: 0,
        )
        return refusalOrNull(job)?.left() ?: job.right()
    }

    /** Returns the response to a request that must not be sent to a target now, or null for any other. */
    fun refusalOrNull(job: RelayJob): LocalResponse? = crashRefusalOrNull(job) ?: stopProblemOrNull(job)

    /** Returns the response to a request that would probably crash its target, or null for any other. */
    private fun crashRefusalOrNull(job: RelayJob): LocalResponse? {
        val cause = job.causes.refusedOrNull(dependencies.views.value.refused) ?: return null
        log.warn("request refused id={} fingerprint={} reason=it crashed several targets", job.id, cause)
        return notRun("the request has crashed several targets")
    }

    /** Returns the refusal of a request that is not expected to end before the process does, or null. */
    private fun stopProblemOrNull(job: RelayJob): LocalResponse? {
        val stop = dependencies.plannedStop
        val endsAtMs = stop.endsAtMs ?: return null
        val nowMs = dependencies.clock.nowMs()
        // A stream that has begun cannot be given up with a response; an estimate that is exceeded would cut it off.
        val isCertaintyRequired = job.isStream && nowMs >= stop.estimatesUntilMs
        val usualMs = if (isCertaintyRequired) null else durations.upperBoundMsOrNull(job.route)
        val timeoutMs = job.deadlineAtMs - nowMs
        if (endsWithin(endsAtMs - nowMs, timeoutMs, usualMs)) {
            log.info(
                "request accepted request={} endsInMs={} timeoutMs={} usualMs={}",
                job.id,
                endsAtMs - nowMs,
                timeoutMs,
                usualMs,
            )
            return null
        }
        val retryAfterMs = retryDelayMs(job, null, nowMs, dependencies.nextRandom())
        return notRun("this VM stops before the request would end", retryAfterMs)
    }

    private fun accountOf(table: RoutingTable, route: Route, apiKey: String?): Either<LocalResponse, AccountKeys?> {
        val account = apiKey?.let { table.accountOrNull(it) }
        if (account != null || route.isPublic || !table.requiresKeys) return account.right()
        return LocalResponse(HttpResponseStatus.UNAUTHORIZED, "the API key is not known").left()
    }

    /** Whether [job] can be judged only by its whole body, which has not been read. */
    fun needsWholeBody(job: RelayJob): Boolean = job.causes.needsWhole(dependencies.views.value.refused)

    private fun crashCausesOf(request: CallerRequest, account: AccountKeys?) = CrashCauses(
        sharedPartsOf(request.metadata.generation?.promptParts.orEmpty()),
        beginningOf = { beginningFingerprintOrNull(request, account) },
        wholeOf = { wholeFingerprintOrNull(request, account) },
    )

    /** Short bodies count by their content, long ones by its hash, however they were read. */
    private fun wholeFingerprintOrNull(request: CallerRequest, account: AccountKeys?): Fingerprint? {
        val body = request.body
        return when {
            !body.isComplete -> null
            body.readBytes <= MAX_BUFFERED_BODY_BYTES -> fingerprintOf(*identityOf(request, account), body.beginning)
            else -> body.sha256OrNull()?.let { fingerprintOf(LONG_BODY_TAG, *identityOf(request, account), it) }
        }
    }

    private fun beginningFingerprintOrNull(request: CallerRequest, account: AccountKeys?): Fingerprint? {
        val body = request.body
        if (body.isComplete && body.readBytes <= MAX_BUFFERED_BODY_BYTES) return null
        val bytes = body.beginning.copyOf(MAX_BUFFERED_BODY_BYTES)
        return fingerprintOf(BODY_BEGINNING_TAG, *identityOf(request, account), bytes)
    }

    private fun identityOf(request: CallerRequest, account: AccountKeys?): Array<ByteArray> = arrayOf(
        request.head.method().name().encodeToByteArray(),
        request.head.uri().encodeToByteArray(),
        account?.account?.value.orEmpty().encodeToByteArray(),
    )

    /** Records the duration and the length of a stream that ended with [events], for later requests of its route. */
    fun recordStream(job: RelayJob, events: Long) {
        recordDuration(job)
        val hints = job.request.metadata.generation ?: return
        outputEstimates.record(job.route.name, hints, events * (job.service.engine?.tokensPerEvent ?: 1))
    }

    /** Records how long a request took that ended with success. */
    fun recordDuration(job: RelayJob) {
        durations.record(job.route, dependencies.clock.nowMs() - job.request.arrivedAtMs)
    }
}
