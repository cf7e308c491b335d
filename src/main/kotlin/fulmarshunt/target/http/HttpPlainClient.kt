/*
 * Calls of plain services over HTTP. Each call uses a connection of its own, because a failed reuse of a kept one would
 * leave open whether the call arrived.
 */
package fulmarshunt.target.http

import fulmarshunt.process.http.connectionHeaders
import fulmarshunt.process.http.pairsWithout
import fulmarshunt.target.PlainCall
import fulmarshunt.target.PlainOutcome
import fulmarshunt.target.PlainResponseHead
import fulmarshunt.target.PlainResponseReceiver
import fulmarshunt.target.SendPlainCall
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.ConnectException

/** Plain calls are short; one without an answer for this long is given up. */
private const val ANSWER_LIMIT_MS = 30_000L

private const val CHUNK_BYTES = 8_192

/** Headers that concern one connection only, and those that the client sets itself. */
private val hopByHopHeaders = connectionHeaders + setOf("content-type", "proxy-authenticate")

/** Returns a client that gives a call up after [limitMs] without a byte of the answer. */
public fun httpPlainClient(limitMs: Long = ANSWER_LIMIT_MS): SendPlainCall {
    val http = engineHttpClient()
    return { address, call, receiver ->
        var hasStarted = false
        try {
            coroutineScope {
                val watchdog =
                    launch {
                        delay(limitMs)
                        throw IOException("no answer within $limitMs ms")
                    }
                http
                    .prepareRequest {
                        method = HttpMethod(call.method)
                        url("http://$address${call.pathAndQuery}")
                        call.headers
                            .filter { (name, _) -> name.lowercase() !in hopByHopHeaders }
                            .forEach { (name, value) -> header(name, value) }
                        header(HttpHeaders.Connection, "close")
                        if (call.body.isNotEmpty()) setBody(ByteArrayContent(call.body, call.contentType()))
                    }.execute { response ->
                        watchdog.cancel()
                        hasStarted = true
                        receive(response, receiver, limitMs)
                    }
            }
            PlainOutcome.Completed
        } catch (e: CancellationException) {
            throw e
        } catch (e: ConnectException) {
            PlainOutcome.Refused("no connection: ${e.message}")
        } catch (e: Exception) {
            PlainOutcome.Broken(e.message ?: e.javaClass.simpleName, hasStarted)
        }
    }
}

private fun PlainCall.contentType(): ContentType? = headers
    .firstOrNull { (name, _) -> name.equals(HttpHeaders.ContentType, ignoreCase = true) }
    ?.let { (_, value) -> runCatching { ContentType.parse(value) }.getOrNull() }

private suspend fun receive(response: HttpResponse, receiver: PlainResponseReceiver, limitMs: Long) {
    val headers = response.headers.pairsWithout(hopByHopHeaders)
    receiver.onHead(PlainResponseHead(response.status.value, response.headers[HttpHeaders.ContentType], headers))
    val body = response.bodyAsChannel()
    val chunk = ByteArray(CHUNK_BYTES)
    while (true) {
        val count =
            withTimeoutOrNull(limitMs) { body.readAvailable(chunk, 0, chunk.size) }
                ?: throw IOException("the answer stopped for $limitMs ms")
        if (count < 0) return
        if (count > 0) receiver.onBytes(chunk.copyOf(count))
    }
}
