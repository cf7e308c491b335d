/*
 * A streamed generation through real processes: an entry VM and a stand-in engine.
 */
package fulmarshunt.caller

import fulmarshunt.standin.Processes
import fulmarshunt.standin.awaitPort
import fulmarshunt.standin.freePort
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.io.File
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse.BodyHandlers

class StreamedGenerationTest {
    /** Guards against lost, repeated or reordered tokens on the whole path. */
    @Test
    fun `each token arrives once and in order`(@TempDir directory: File) {
        Processes(directory).use { processes ->
            val callers = freePort()
            val targets = freePort()
            val engine = freePort()
            val settings =
                processes.settings(
                    "entry.toml",
                    """
                    [vm]
                    id = "entry-1"
                    failure_domain = "suva"
                    [callers]
                    listen = "127.0.0.1:$callers"
                    [targets]
                    listen = "127.0.0.1:$targets"
                    """.trimIndent(),
                )
            processes.start("entry", "fulmarshunt.program.EntryKt", "--settings", settings)
            awaitPort(targets)
            processes.start(
                "engine",
                "fulmarshunt.standin.EngineStandInKt",
                "id=e1",
                "port=$engine",
                "announce=127.0.0.1:$targets",
            )
            awaitPort(engine)
            awaitPort(callers)
            val lines = streamLetter(callers)
            val offsets = Regex("\"content\":\"[^\":]*:(\\d+) \"").findAll(lines).map {
                it.groupValues[1].toInt()
            }.toList()
            expectThat(offsets).hasSize(40)
            expectThat(offsets).isEqualTo((0 until 40).toList())
        }
    }

    private fun streamLetter(port: Int): String {
        val body = """{"model":"letters","stream":true,"messages":[{"role":"user","content":"letter length=40"}]}"""
        val request =
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:$port/v1/chat/completions"))
                .header("Authorization", "Bearer test-key")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build()
        val client = HttpClient.newHttpClient()
        repeat(50) {
            val response = client.send(request, BodyHandlers.ofString())
            if (response.statusCode() == 200) return response.body()
            Thread.sleep(100)
        }
        error("no answer with status 200")
    }
}
