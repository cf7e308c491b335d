/*
 * Problems as HTTP responses: the status, the RFC 9457 body and the Retry-After header.
 */
package fulmarshunt.caller.http

import fulmarshunt.caller.ProblemKind
import fulmarshunt.caller.RequestProblem
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText

private const val MS_PER_SECOND = 1_000L

internal val ProblemKind.status: HttpStatusCode
    get() =
        when (this) {
            ProblemKind.MALFORMED -> HttpStatusCode.BadRequest
            ProblemKind.UNAUTHENTICATED -> HttpStatusCode.Unauthorized
            ProblemKind.UNKNOWN_SERVICE -> HttpStatusCode.NotFound
            ProblemKind.RATE_LIMITED -> HttpStatusCode.TooManyRequests
            ProblemKind.OVERLOADED, ProblemKind.UNAVAILABLE -> HttpStatusCode.ServiceUnavailable
            ProblemKind.QUARANTINED, ProblemKind.KEY_REUSED -> HttpStatusCode.UnprocessableEntity
            ProblemKind.ANSWER_NOT_KEPT -> HttpStatusCode.Conflict
            ProblemKind.OUTCOME_UNKNOWN -> HttpStatusCode.BadGateway
            ProblemKind.GENERATION_LOST -> HttpStatusCode.BadGateway
        }

internal fun RequestProblem.toBody(): ProblemBody = ProblemBody(
    type = "urn:fulmarshunt:problem:${kind.slug}",
    title = kind.title,
    status = kind.status.value,
    detail = detail,
    ran = ran.label,
    retryAfterMs = retryAfterMs,
    error = ErrorBody(message = "${kind.title}: $detail", type = kind.slug, code = ran.label),
)

internal suspend fun ApplicationCall.respondProblem(problem: RequestProblem) {
    problem.retryAfterMs?.let {
        response.header(HttpHeaders.RetryAfter, ((it + MS_PER_SECOND - 1) / MS_PER_SECOND).toString())
    }
    respondText(
        callerJson.encodeToString(ProblemBody.serializer(), problem.toBody()),
        ContentType.Application.ProblemJson,
        problem.kind.status,
    )
}
