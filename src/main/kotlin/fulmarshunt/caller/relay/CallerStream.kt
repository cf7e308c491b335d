/*
 * The stream that a caller receives. Its head is sent with its first event: until then, the caller can still be told
 * that the request has failed or that the process ends. Comments before the first event are held back with the head.
 */
package fulmarshunt.caller.relay

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent

/** Comments beyond this size begin the response, so that they cannot fill the memory. */
private const val MAX_HELD_BYTES = 16_384

/** The response to [request], which begins with [head]. */
internal class CallerStream(private val request: CallerRequest, private val head: HttpResponse) {
    private val held = mutableListOf<HttpContent>()

    /** Sends [content] and waits while the caller is too slow; [hasEvent] says whether the stream has had an event. */
    suspend fun send(content: HttpContent, hasEvent: Boolean) {
        if (!request.progress.hasBegun) {
            val heldBytes = held.sumOf { it.content().readableBytes() } + content.content().readableBytes()
            if (!hasEvent && content !is LastHttpContent && heldBytes <= MAX_HELD_BYTES) {
                held += content
                return
            }
            request.progress.hasBegun = true
            head.announceEndOf(request)
            request.connection.write(head)
            held.forEach(request.connection::write)
            held.clear()
        }
        request.connection.send(content)
    }

    /** Releases what is held back. */
    fun discard() {
        held.forEach { it.release() }
        held.clear()
    }
}
