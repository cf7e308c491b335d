/*
 * Settings that are reloaded while connections hold all the direct memory of a process.
 */
package fulmarshunt.process

import fulmarshunt.standin.Processes
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.io.File
import java.nio.ByteBuffer
import java.nio.file.Path
import java.util.concurrent.TimeUnit

private const val BLOCK_BYTES = 4_096
private const val LIMIT_S = 30L

class ReloadWithoutDirectMemoryTest {
    @TempDir
    lateinit var directory: File

    /** Guards against an entry VM that ends because callers who do not read hold its direct memory. */
    @Test
    fun `settings are reloaded without direct memory`() {
        val file = File(directory, "settings").apply { writeText("new") }
        Processes(directory).use { processes ->
            val main = "fulmarshunt.process.ReloadWithoutDirectMemoryTestKt"
            val flags = listOf("-Xmx32m", "-XX:MaxDirectMemorySize=1m")
            val process = processes.start("reload", main, file.path, jvmFlags = flags)
            expectThat(process.waitFor(LIMIT_S, TimeUnit.SECONDS)).isTrue()
            expectThat(process.exitValue()).describedAs(processes.lastLines("reload")).isEqualTo(0)
        }
    }
}

/** Takes all direct memory, and reloads the settings at the path that is given. */
public fun main(arguments: Array<String>) {
    val blocks = mutableListOf<ByteBuffer>()
    try {
        while (true) blocks += ByteBuffer.allocateDirect(BLOCK_BYTES)
    } catch (_: OutOfMemoryError) {
        println("blocks=${blocks.size}")
    }
    val settings = ReloadedSettings(Path.of(arguments.single()), { it }, "old")
    settings.reload()
    check(settings.current == "new") { "the settings were not reloaded" }
}
