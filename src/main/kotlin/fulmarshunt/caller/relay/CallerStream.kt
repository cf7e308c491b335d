/*
 * The stream that a caller receives. Its head is sent with its first event: until then, the caller can still be told
 * that the request has failed or that the process ends.
 */
package fulmarshunt.caller.relay

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse

/** The response to [request], which begins with [head]. */
internal class CallerStream(private val request: CallerRequest, private val head: HttpResponse) {
    /** Sends [content] and waits while the caller is too slow. */
    suspend fun send(content: HttpContent) {
        if (!request.progress.hasBegun) {
            request.progress.hasBegun = true
            head.announceEndOf(request)
            request.connection.write(head)
        }
        request.connection.send(content)
    }
}
