/*
 * How the end of a connection is reported.
 */
package fulmarshunt.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException

/** Fails each write and closes the channel, as a socket does that has been reset by the peer. */
private class ResetSocket : ChannelOutboundHandlerAdapter() {
    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        ReferenceCountUtil.release(message)
        promise.setFailure(IOException("Connection reset by peer"))
        context.close()
    }
}

class HttpConnectionTest {
    private fun connection(vararg handlers: ChannelOutboundHandlerAdapter): Pair<EmbeddedChannel, HttpConnection> {
        val channel = EmbeddedChannel(*handlers)
        val connection = HttpConnection(channel)
        channel.pipeline().addLast(ConnectionHandler(connection))
        return channel to connection
    }

    /** Guards against a reset that is noticed by a write: a body that ends with its connection would look complete. */
    @Test
    fun `a connection whose write fails is broken`() {
        val (channel, connection) = connection(ResetSocket())
        runBlocking { connection.send("piece") }
        channel.runPendingTasks()
        expectThat(connection.end).isEqualTo(ConnectionEnd.BROKEN)
    }

    /** Guards against a body that ends with its connection and is taken for a broken one. */
    @Test
    fun `a connection that the peer closes in order is not broken`() {
        val (channel, connection) = connection()
        channel.close()
        channel.runPendingTasks()
        expectThat(connection.end).isEqualTo(ConnectionEnd.CLOSED)
    }
}
