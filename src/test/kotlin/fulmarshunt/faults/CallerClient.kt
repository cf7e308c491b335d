/*
 * A caller of the entry VMs, on the HTTP client of the JDK, so that no code is shared with the system under test.
 */
package fulmarshunt.faults

import java.io.InputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/** The response that a caller received for one generation. */
class ReceivedStream(
    val status: Int,
    /** The generation ids and offsets in the order of arrival. */
    val tokens: List<ReceivedToken>,
    /** True if the stream ended with `[DONE]`. */
    val isComplete: Boolean,
    /** Everything that is not a token, for messages of failed tests. */
    val rest: String,
) {
    /** The distinct generations that tokens came from. */
    val generations: Set<String> get() = tokens.map { it.generation }.toSet()

    /** The offsets in the order of arrival. */
    val offsets: List<Int> get() = tokens.map { it.offset }
}

/** One token as it arrived. */
class ReceivedToken(val generation: String, val offset: Int, val atNanos: Long)

/** A caller that uses one API key. */
class CallerClient(private val key: String) {
    private val http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val openStreams = ConcurrentHashMap.newKeySet<InputStream>()

    /** Requests a generation of [prompt] from the entry VM at [port] and reads the stream to its end. */
    fun stream(
        port: Int,
        prompt: String,
        model: String = "letters",
        maxTokens: Int = 4_096,
        onToken: (Int) -> Unit = {},
    ): ReceivedStream {
        val response = open(port, prompt, model, maxTokens, isStreamed = true)
        if (response.statusCode() != 200) {
            val rest = response.body().readBytes().decodeToString()
            return ReceivedStream(response.statusCode(), emptyList(), false, rest)
        }
        val tokens = mutableListOf<ReceivedToken>()
        val rest = StringBuilder()
        var isComplete = false
        openStreams += response.body()
        runCatching {
            response.body().bufferedReader().forEachLine { line ->
                val match = TOKEN.find(line)
                when {
                    match != null -> {
                        tokens += ReceivedToken(match.groupValues[1], match.groupValues[2].toInt(), System.nanoTime())
                        onToken(tokens.size)
                    }
                    line == "data: [DONE]" -> isComplete = true
                    line.isNotEmpty() -> rest.appendLine(line)
                }
            }
        }.onFailure { rest.append(it) }
        openStreams -= response.body()
        return ReceivedStream(200, tokens, isComplete, rest.toString())
    }

    /** Closes the streams that are being read; an interrupt of their threads does not end a read. */
    fun closeStreams() {
        openStreams.forEach { it.close() }
    }

    /** Requests a generation and returns the open response, for callers that disconnect early. */
    fun open(
        port: Int,
        prompt: String,
        model: String = "letters",
        maxTokens: Int = 4_096,
        isStreamed: Boolean = true,
    ): HttpResponse<InputStream> {
        val body =
            """{"model":"$model","stream":$isStreamed,"max_tokens":$maxTokens,""" +
                """"messages":[{"role":"user","content":"$prompt"}]}"""
        val request = request(port, "/v1/chat/completions").POST(BodyPublishers.ofString(body)).build()
        return http.send(request, BodyHandlers.ofInputStream())
    }

    /** Calls a plain service with POST. */
    fun post(port: Int, path: String, body: String, idempotencyKey: String? = null): HttpResponse<String> {
        val request = request(port, path).POST(BodyPublishers.ofString(body))
        idempotencyKey?.let { request.header("Idempotency-Key", it) }
        return http.send(request.build(), BodyHandlers.ofString())
    }

    private fun request(port: Int, path: String): HttpRequest.Builder = HttpRequest
        .newBuilder(URI("http://127.0.0.1:$port$path"))
        .timeout(Duration.ofSeconds(REQUEST_TIMEOUT_S))
        .header("Authorization", "Bearer $key")

    private companion object {
        const val REQUEST_TIMEOUT_S = 60L

        /** Matches a token of the stand-in engine, which contains its generation and offset. */
        val TOKEN = Regex("\"content\":\"([^\":]+):(\\d+) \"")
    }
}
