/*
 * Translation between the headers of the platform and the metadata of requests and responses.
 */
package fulmarshunt.platform

import arrow.core.Either
import arrow.core.left
import fulmarshunt.PromptPartId
import fulmarshunt.RequestId
import fulmarshunt.caller.relay.Dispatch
import fulmarshunt.caller.relay.GenerationHints
import fulmarshunt.caller.relay.ProtocolAdapter
import fulmarshunt.caller.relay.RequestMetadata
import fulmarshunt.caller.relay.ResponseMetadata
import fulmarshunt.target.fleet.StatedLoad
import fulmarshunt.target.fleet.statedLoad
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders

/** Hop-by-hop headers, which are not forwarded. */
private val hopByHopHeaders = setOf(
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade", "content-length", "expect",
)

private val limitPattern = Regex("[0-9]{1,9}(\\.[0-9]{1,9})?")

/** Parts of a prompt beyond this number are ignored; it bounds the work for one request. */
private const val MAX_PROMPT_PARTS = 64

/** The figures that every statement of a load has; some targets add how long work takes. */
private const val MIN_LOAD_FIGURES = 3
private const val MAX_LOAD_FIGURES = 4

/** What follows in a statement of a load is not read; four figures of seven digits fit. */
private const val MAX_LOAD_CHARACTERS = 64

/** Returns the protocol adapter of the platform; [engines] migrates runs. */
internal fun platformProtocolAdapter(engines: EngineMigrationClient): ProtocolAdapter = ProtocolAdapter(
    readRequest = ::readRequest,
    toTargetHeaders = ::headersForTarget,
    toCallerHeaders = { headers -> headers.copyWithout(hopByHopNames(headers)) },
    readResponse = ::readResponse,
    migrate = engines::migrate,
    copyHandle = { it.value },
)

private fun readRequest(headers: HttpHeaders): RequestMetadata = RequestMetadata(
    id = headers.get(HeaderName.REQUEST_ID)?.takeIf { it.isNotBlank() }?.let(::RequestId),
    apiKey = headers.get(HeaderName.KEY)?.trim(),
    callerTimeoutMs = headers.get(HeaderName.DEADLINE_MS)?.trim()?.toLongOrNull()?.coerceAtLeast(0),
    generation = readGenerationOrNull(headers),
)

private fun readGenerationOrNull(headers: HttpHeaders): GenerationHints? {
    val counts = headers.get(HeaderName.TOKEN_COUNTS)?.split(',') ?: return null
    val promptTokens = counts.getOrNull(0)?.trim()?.toIntOrNull() ?: return null
    val maxOutputTokens = counts.getOrNull(1)?.trim()?.toIntOrNull() ?: return null
    val lengthHint = headers.get(HeaderName.LENGTH_HINT)?.trim()?.toDoubleOrNull()?.toInt()
    return GenerationHints(
        promptTokens.coerceAtLeast(0),
        maxOutputTokens.coerceAtLeast(0),
        lengthHint,
        readPromptParts(headers),
    )
}

/** Returns the ids of the parts of the prompt; entries have the form `id:tokens`, and empty ones are ignored. */
private fun readPromptParts(headers: HttpHeaders): List<PromptPartId> =
    headers.get(HeaderName.PROMPT_PARTS).orEmpty().split(',')
        .map { it.substringBefore(':').trim() }
        .filter { it.isNotEmpty() }
        .take(MAX_PROMPT_PARTS)
        .map(::PromptPartId)

private fun headersForTarget(headers: HttpHeaders, dispatch: Dispatch): HttpHeaders {
    val copy = headers.copyWithout(hopByHopNames(headers) + systemHeaders)
    copy.set(HeaderName.DEADLINE_MS, dispatch.remainingTimeMs)
    copy.set(HeaderName.EXPECTED_TARGET, dispatch.target.value)
    dispatch.account?.let { copy.set(HeaderName.ACCOUNT, it.value) }
    dispatch.priority?.let { copy.set(HeaderName.PRIORITY, it) }
    dispatch.copyAt?.let { copy.set(HeaderName.COPY_AT, it.toString()) }
    val resume = dispatch.resume
    if (resume != null) {
        copy.set(HeaderName.RESUME_FROM, "${resume.holder}/${resume.handle}")
        resume.lastEventId?.let { copy.set(HeaderName.LAST_EVENT_ID, it) }
    } else if (dispatch.allowsCallerResume) {
        headers.get(HeaderName.LAST_EVENT_ID)?.let { copy.set(HeaderName.LAST_EVENT_ID, it) }
    }
    return copy
}

private fun readResponse(headers: HttpHeaders): ResponseMetadata = ResponseMetadata(
    request = headers.get(HeaderName.REQUEST_ID),
    isStamped = headers.contains(HeaderName.STAMP),
    isNotRun = headers.contains(HeaderName.NOT_RUN),
    retryAfterMs = readRetryAfterMs(headers),
    isLeaving = headers.get(HeaderName.LEAVING)?.trim() == "1",
    limitPerS = headers.get(HeaderName.LIMIT)?.let(::parseLimitPerSOrNull),
    refusalsPerS = headers.get(HeaderName.BRITTLE)?.let(::parseLimitPerSOrNull),
    load = headers.get(HeaderName.LOAD)?.let(::parseLoad),
)

/** Returns the load in [value], its figures separated by commas, or why it cannot be used; further ones are ignored. */
internal fun parseLoad(value: String): Either<String, StatedLoad> {
    val texts = value.take(MAX_LOAD_CHARACTERS).split(',').take(MAX_LOAD_FIGURES)
    val figures = texts.mapNotNull { it.trim().toLongOrNull() }
    if (figures.size < texts.size || figures.size < MIN_LOAD_FIGURES) return "not three or four figures".left()
    val (running, waiting, slots) = figures
    return statedLoad(running, waiting, slots, figures.getOrNull(MIN_LOAD_FIGURES))
}

/** Returns the limit in [value], or null if it is no decimal number. */
internal fun parseLimitPerSOrNull(value: String): Double? = value.trim().takeIf { limitPattern.matches(it) }?.toDouble()

/** Returns the names of hop-by-hop headers in lower case: the standard ones and those that `Connection` lists. */
private fun hopByHopNames(headers: HttpHeaders): Set<String> =
    hopByHopHeaders + headers.getAll("connection").flatMap { it.split(',') }.map { it.trim().lowercase() }

private fun HttpHeaders.copyWithout(names: Set<String>): HttpHeaders {
    val copy = DefaultHttpHeadersFactory.headersFactory().newHeaders()
    entries().forEach { (name, value) -> if (name.lowercase() !in names) copy.add(name, value) }
    return copy
}
