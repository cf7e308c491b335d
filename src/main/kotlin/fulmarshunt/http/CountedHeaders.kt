/*
 * The headers of a message from a peer, counted while they are decoded: a line takes many times its length of the heap.
 */
package fulmarshunt.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/** What a header line takes beyond its text, with the copy that is made when it is forwarded. */
private const val LINE_OVERHEAD_BYTES = 192

/** Headers that call [onHeld] with the bytes that each added line takes. */
internal class CountedHeaders(private val onHeld: (Int) -> Unit) :
    DefaultHttpHeaders(
        DefaultHttpHeadersFactory.headersFactory().nameValidator,
        DefaultHttpHeadersFactory.headersFactory().valueValidator,
    ) {
    /** What all lines take. */
    var heldBytes: Int = 0
        private set

    override fun add(name: CharSequence, value: Any): HttpHeaders {
        count(name, value)
        return super.add(name, value)
    }

    override fun add(name: String, value: Any): HttpHeaders {
        count(name, value)
        return super.add(name, value)
    }

    private fun count(name: CharSequence, value: Any) {
        val bytes = LINE_OVERHEAD_BYTES + name.length + ((value as? CharSequence)?.length ?: 0)
        heldBytes += bytes
        onHeld(bytes)
    }
}

/** Returns a factory of headers that are counted by [onHeld]. */
internal fun countedHeadersFactory(onHeld: (Int) -> Unit): HttpHeadersFactory = object : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = CountedHeaders(onHeld)

    override fun newEmptyHeaders(): HttpHeaders = CountedHeaders(onHeld)
}
