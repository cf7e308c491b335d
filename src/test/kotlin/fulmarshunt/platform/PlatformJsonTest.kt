/*
 * Decoding of valid and invalid input from operators, targets and callers.
 */
package fulmarshunt.platform

import arrow.core.right
import fulmarshunt.ClientAccountId
import fulmarshunt.ConfigurationVersion
import fulmarshunt.LogIndex
import fulmarshunt.ServiceId
import fulmarshunt.TargetId
import fulmarshunt.caller.relay.Dispatch
import fulmarshunt.http.Traffic
import fulmarshunt.link.linkCbor
import fulmarshunt.monotonicClock
import fulmarshunt.operator.serving.ConfigurationDocument
import fulmarshunt.operator.serving.Repeatability
import fulmarshunt.operator.serving.RoutingTable
import fulmarshunt.operator.serving.ServingCommand
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.operator.serving.ServingStateMachine
import fulmarshunt.target.fleet.TargetConnections
import fulmarshunt.target.fleet.TargetPhase
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isTrue

private const val ROUTE =
    """{"name":"r","host":"h.example","path_prefix":"/p/","type":"stream","timeout_ms":6000,"slo_ms":1500,""" +
        """"priority":1,"service":"s","max_attempts":1,"public":false,"gap_slo_ms":180}"""
private const val SERVICE =
    """{"name":"s","health_path":"/health","max_conns":9,"cold_start_s":1.0,"cold_per_s":31.0,"engine":{"slots":24,""" +
        """"kv_capacity":34244,"moves":true,"backups":true,"stride":4,"models":[{"name":"m"}]}}"""
private const val HEARTBEAT =
    """{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":24,"state":"draining",""" +
        """"cold_remaining_ms":12.5,"seq":4,"born":17}"""

/** The time of the wall clock, in milliseconds since the Unix epoch. */
private const val NOW_MS = 1_796_000_000_000L

class PlatformJsonTest {
    private fun configuration(routes: String = ROUTE, tail: String = "") =
        decodeConfiguration("""{"version":7,"routes":[$routes],"services":[$SERVICE]$tail}""".encodeToByteArray())

    /** Guards against fields that are decoded to the wrong property. */
    @Test
    fun `a configuration is decoded`() {
        val tenants = ""","tenants":[{"name":"t","api_keys":["k"],"priority":2}],"new_field":1"""
        val decoded = checkNotNull(configuration(tail = tenants).getOrNull())
        expectThat(decoded.version.value).isEqualTo(7L)
        expectThat(decoded.routes.single()) {
            get { repeatability }.isEqualTo(Repeatability.STREAM)
            get { objectiveMs }.isEqualTo(1_500L)
            get { shares.single().service }.isEqualTo(ServiceId("s"))
        }
        expectThat(decoded.services.single().engine?.memoryTokens).isEqualTo(34_244)
        expectThat(decoded.accounts?.single()?.rank).isEqualTo(2)
    }

    /** Guards against invalid input that is acknowledged, or that ends the process. */
    @Test
    fun `an invalid configuration is refused`() {
        val complete = """{"version":7,"routes":[$ROUTE],"services":[$SERVICE]}"""
        for (length in 0 until complete.length) {
            expectThat(decodeConfiguration(complete.take(length).encodeToByteArray()).isLeft()).isTrue()
        }
        val invalid = listOf("[]", "null", """{"version":"x"}""", complete.replace("stream", "other"), "\u0000")
        invalid.forEach { expectThat(decodeConfiguration(it.encodeToByteArray()).isLeft()).isTrue() }
        expectThat(decodeConfiguration(byteArrayOf(-1, -2)).isLeft()).isTrue()
        expectThat(configuration(ROUTE.replace("6000", "0")).isLeft()).isTrue()
    }

    /** Guards against routes that open to callers without a key once the last client account is removed. */
    @Test
    fun `an empty list of client accounts closes routes, and only an absent one leaves them open`() {
        fun requiresKeys(tail: String): Boolean {
            val body = """{"version":7,"routes":[$ROUTE],"services":[$SERVICE]$tail}""".encodeToByteArray()
            val machine = ServingStateMachine()
            val command = ServingCommand.Replace(ConfigurationDocument(ConfigurationVersion(7), body))
            val entry = linkCbor.encodeToByteArray(ServingCommand.serializer(), command)
            machine.asReplicated.apply(LogIndex(1), entry)
            val restored = ServingStateMachine()
            restored.asReplicated.restore(LogIndex(1), machine.asReplicated.snapshot()())
            val reply = linkCbor.encodeToByteArray(ServingSnapshot.serializer(), restored.snapshots.value)
            val received = linkCbor.decodeFromByteArray(ServingSnapshot.serializer(), reply)
            val decoded = received.document?.let(::decodeDocument)?.getOrNull()
            return RoutingTable(checkNotNull(decoded)).requiresKeys
        }
        expectThat(requiresKeys("")).isFalse()
        expectThat(requiresKeys(""","tenants":[]""")).isTrue()
        expectThat(requiresKeys(""","tenants":[{"name":"t"}]""")).isTrue()
        expectThat(requiresKeys(""","tenants":[{"name":"t","api_keys":[]}]""")).isTrue()
        expectThat(configuration(tail = ""","tenants":null""").isLeft()).isTrue()
    }

    /** Guards against malformed announcements that replace the record of a target. */
    @Test
    fun `announcements are decoded or refused`() {
        val id = TargetId("i")
        val record = checkNotNull(decodeAnnouncement(id, HEARTBEAT.encodeToByteArray(), NOW_MS).getOrNull())
        expectThat(record.phase).isEqualTo(TargetPhase.LEAVING)
        expectThat(record.startedAtMs).isEqualTo(17L)
        expectThat(record.coldForMs).isEqualTo(12L)
        val invalid =
            listOf(
                "",
                "{}",
                HEARTBEAT.replace("draining", "asleep"),
                HEARTBEAT.replace("10.0.0.1:80", "x"),
                HEARTBEAT.drop(1),
            )
        invalid.forEach { expectThat(decodeAnnouncement(id, it.encodeToByteArray(), NOW_MS).isLeft()).isTrue() }
        fun deregistration(body: String) = decodeDeregistration(body.encodeToByteArray(), NOW_MS)
        expectThat(deregistration("""{"born":17}""")).isEqualTo(17L.right())
        expectThat(deregistration("")).isEqualTo(null.right())
        expectThat(deregistration("{").isLeft()).isTrue()
    }

    /** Guards against keys that reach targets, and against callers that set headers reserved for the system. */
    @Test
    fun `targets get neither keys nor system headers from callers`() {
        Traffic().use { traffic ->
            val adapter = platformProtocolAdapter(EngineMigrationClient(TargetConnections(traffic, monotonicClock())))
            val headers = DefaultHttpHeaders()
            val forged = listOf(
                "Api-Key", "fulmarshunt-tenant", "Fulmarshunt-Hold", "Fulmarshunt-Pin-Ms", "Fulmarshunt-Kv-Backup",
                "Kv-From", "Kv-Fetch", "Last-Event-Id", "Connection", "Keep-Alive", "X-Hop",
            )
            forged.forEach { headers.set(it, if (it == "Connection") "X-Hop, close" else "forged") }
            headers.set("X-Kept", "kept").set("Fulmarshunt-Request-Id", "id-1")
            val dispatch = Dispatch(TargetId("i"), 900, ClientAccountId("t"), 4, null, null, allowsCallerResume = false)
            val sent = adapter.toTargetHeaders(headers, dispatch)
            expectThat(sent.entries().none { "forged" in it.value }).isTrue()
            expectThat(sent.get("Fulmarshunt-Tenant")).isEqualTo("t")
            expectThat(sent.get("Fulmarshunt-Expect-Instance")).isEqualTo("i")
            expectThat(sent.get("Fulmarshunt-Deadline-Ms")).isEqualTo("900")
            expectThat(sent.get("X-Kept")).isNotNull()
            expectThat(sent.get("Fulmarshunt-Request-Id")).isEqualTo("id-1")
        }
    }

    /** Guards against parts of prompts that are taken for others, or refuse the request that names them. */
    @Test
    fun `the parts of a prompt are decoded in order`() {
        Traffic().use { traffic ->
            val adapter = platformProtocolAdapter(EngineMigrationClient(TargetConnections(traffic, monotonicClock())))
            fun partsOf(text: String) = adapter.readRequest(
                DefaultHttpHeaders().set("Fulmarshunt-Token-Counts", "10,20").set("Fulmarshunt-Prefix-Hash", text),
            ).generation?.promptParts?.map { it.value }
            expectThat(partsOf("5c1e07a2:800, 91bd3f06:410,e4402b7d:250"))
                .isEqualTo(listOf("5c1e07a2", "91bd3f06", "e4402b7d"))
            expectThat(partsOf(",,:3,")).isEqualTo(emptyList())
        }
    }

    /** Guards against a target that is taken for sound, or out of service, because of the form of what it says. */
    @Test
    fun `the limits in a response are decimal numbers`() {
        Traffic().use { traffic ->
            val adapter = platformProtocolAdapter(EngineMigrationClient(TargetConnections(traffic, monotonicClock())))
            fun limitsOf(text: String): List<Double?> = adapter.readResponse(
                DefaultHttpHeaders().set("Server-Limit", text).set("Server-Brittle", text),
            ).let { listOf(it.limitPerS, it.refusalsPerS) }
            expectThat(limitsOf("3")).isEqualTo(listOf(3.0, 3.0))
            expectThat(limitsOf("2.5")).isEqualTo(listOf(2.5, 2.5))
            for (text in listOf("", "-1", "1e9", "NaN", "many", "3, 4")) {
                expectThat(limitsOf(text)).isEqualTo(listOf(null, null))
            }
            expectThat(adapter.readResponse(DefaultHttpHeaders()).refusalsPerS).isEqualTo(null)
        }
    }
}
