/*
 * A raw HTTP connection for tests, which can be closed while the server has nothing to write.
 */
package fulmarshunt.entry

import java.net.Socket

class CallerSocket(port: Int) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port).apply { soTimeout = 5_000 }

    /** Requests a generation and returns after the first token, or after half a second if it is not streamed. */
    fun requestGeneration(prompt: String, isStreamed: Boolean) {
        val body =
            """{"model":"letters","stream":$isStreamed,"messages":[{"role":"user","content":"$prompt"}]}"""
        send("/v1/chat/completions", body)
        if (isStreamed) readUntil("content") else Thread.sleep(500)
    }

    /** Sends an announcement with [field] set to [value] and returns the start of the response. */
    fun announce(field: String, value: String): String {
        val limits = mapOf("start_limit" to "1", "full_limit" to "4") + (field to value)
        val body =
            """{"target":"x","address":{"host":"127.0.0.1","port":1},"incarnation":1,"failure_domain":"suva",""" +
                """"kind":"plain","services":["x"],${limits.entries.joinToString(",") {
                    "\"${it.key}\":${it.value}"
                }}}"""
        send("/v1/targets/announce", body)
        return readUntil("limit")
    }

    override fun close(): Unit = socket.close()

    private fun send(path: String, body: String) {
        val head =
            "POST $path HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer test-key\r\n" +
                "Content-Length: ${body.length}\r\n\r\n"
        socket.getOutputStream().write((head + body).encodeToByteArray())
    }

    private fun readUntil(text: String): String {
        val received = StringBuilder()
        val buffer = ByteArray(4_096)
        while (text !in received) {
            val count = socket.getInputStream().read(buffer)
            check(count >= 0) { "the connection ended after: $received" }
            received.append(buffer.decodeToString(0, count))
        }
        return received.toString()
    }
}
