/*
 * Tests the faults that the proxy injects, on plain sockets. A fault test proves nothing if the proxy lets bytes pass
 * that it should drop.
 */
package fulmarshunt.faults

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread

class FaultProxyTest {
    private val server = ServerSocket(0)
    private val echo =
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = server.accept()
                    thread(isDaemon = true) { runCatching { socket.getInputStream().copyTo(socket.getOutputStream()) } }
                }
            }
        }
    private val proxy = FaultProxy(server.localPort, listOf("vm-a", "vm-b"))

    @AfterEach
    fun close() {
        proxy.close()
        server.close()
        echo.join(1_000)
    }

    private fun connect(): Socket = Socket("127.0.0.1", proxy.port).apply { soTimeout = 500 }

    private fun Socket.exchange(text: String): String? {
        getOutputStream().write(text.encodeToByteArray())
        val buffer = ByteArray(100)
        return try {
            val count = getInputStream().read(buffer)
            if (count < 0) null else String(buffer, 0, count)
        } catch (e: SocketTimeoutException) {
            null
        }
    }

    /** Guards against a silenced connection that still delivers bytes, and against new ones that do not. */
    @Test
    fun `an open connection goes silent while a new one works`() {
        val old = connect()
        expectThat(old.exchange("one")).isEqualTo("one")
        proxy.silenceOpenConnections()
        expectThat(old.exchange("two")).isNull()
        expectThat(connect().exchange("three")).isEqualTo("three")
    }

    /** Guards against a cut that affects another source, or that does not end. */
    @Test
    fun `a cut stops one source in one direction`() {
        val cut = Cut("vm-a", Direction.INBOUND)
        proxy.add(cut)
        expectThat(connect().exchange("vm-a")).isNull()
        expectThat(connect().exchange("vm-b")).isEqualTo("vm-b")
        proxy.remove(cut)
        expectThat(connect().exchange("vm-a")).isEqualTo("vm-a")
    }
}
