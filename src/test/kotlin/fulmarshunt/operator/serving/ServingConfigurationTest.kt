/*
 * Validation of serving configurations, lookups in them, and the state machine that stores them.
 */
package fulmarshunt.operator.serving

import fulmarshunt.ClientAccountId
import fulmarshunt.ConfigurationVersion
import fulmarshunt.FailureDomainId
import fulmarshunt.LogIndex
import fulmarshunt.ServiceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isSameInstanceAs

class ServingConfigurationTest {
    private val engine = ServiceId("engine")
    private val plain = ServiceId("plain")

    private fun route(name: String, prefix: String, vararg shares: ServiceShare) = Route(
        name, "host.example", prefix, Repeatability.IDEMPOTENT, 1_000, 100, 0, 0, shares.toList(), 1, false, false,
    )

    private fun configuration(vararg routes: Route, accounts: List<AccountKeys> = emptyList()) = ServingConfiguration(
        ConfigurationVersion(1),
        routes.toList(),
        listOf(engine, plain).map { ServiceProfile(it, "/health", 10, 0.0, null) },
        CallerLimits(1_000, 1_000, 1_000, 1_000),
        accounts,
    )

    /** Guards against acknowledging a configuration that cannot be used. */
    @Test
    fun `each kind of problem is named`() {
        val good = route("r", "/a/", ServiceShare(engine, 1.0))
        expectThat(configuration(good).problemOrNull()).isNull()
        val problems = mapOf(
            "unknown service" to configuration(route("r", "/a/", ServiceShare(ServiceId("x"), 1.0))),
            "add up to 0" to configuration(route("r", "/a/", ServiceShare(engine, 0.0))),
            "timeout" to configuration(good.copy(timeoutMs = 0)),
            "share host.example/a/" to configuration(good, good.copy(name = "s")),
            "share a key" to configuration(
                good,
                accounts = listOf("one", "two").map { AccountKeys(ClientAccountId(it), listOf("key"), null) },
            ),
        )
        problems.forEach { (word, configuration) ->
            expectThat(configuration.problemOrNull()).isNotNull().contains(word)
        }
    }

    /** Guards against requests that are routed by a shorter prefix than the longest matching one. */
    @Test
    fun `the longest matching prefix of complete path segments decides`() {
        val table = RoutingTable(
            configuration(
                route("short", "/a/", ServiceShare(engine, 1.0)),
                route("long", "/a/b/", ServiceShare(engine, 1.0)),
            ),
        )
        expectThat(table.routeOrNull("HOST.example", "/a/b/c")?.name).isEqualTo("long")
        expectThat(table.routeOrNull("host.example", "/a/bc")?.name).isEqualTo("short")
        expectThat(table.routeOrNull("host.example", "/ab")).isNull()
        expectThat(table.routeOrNull("other.example", "/a/b")).isNull()
    }

    /** Guards against a service with weight 0 that gets requests, and one with a weight that gets none. */
    @Test
    fun `services get requests by their weight`() {
        val split = route("r", "/a/", ServiceShare(engine, 9.0), ServiceShare(plain, 1.0))
        val counts = (0 until 100).map { split.serviceFor(it / 100.0) }.groupingBy { it }.eachCount()
        expectThat(counts).isEqualTo(mapOf(engine to 90, plain to 10))
        val one = route("r", "/a/", ServiceShare(engine, 1.0), ServiceShare(plain, 0.0))
        expectThat(one.serviceFor(0.999999)).isEqualTo(engine)
    }

    /** Guards against an older configuration that arrives again, and against other content under the same version. */
    @Test
    fun `only a higher version replaces a configuration`() {
        fun replace(version: Long, text: String) =
            ServingCommand.Replace(ConfigurationDocument(ConfigurationVersion(version), text.encodeToByteArray()))
        val first = ServingSnapshot().after(LogIndex(1), replace(7, "first"))
        expectThat(first.after(LogIndex(2), replace(7, "other"))).isSameInstanceAs(first)
        expectThat(first.after(LogIndex(3), replace(6, "older"))).isSameInstanceAs(first)
        val next = first.after(LogIndex(4), replace(9, "next"))
        expectThat(next.document?.bytes?.decodeToString()).isEqualTo("next")
        expectThat(next.revision).isEqualTo(LogIndex(4))
    }

    /** Guards against a drained failure domain that is restored by a new configuration. */
    @Test
    fun `drained failure domains stay drained across configurations`() {
        val domain = FailureDomainId("z")
        val document = ConfigurationDocument(ConfigurationVersion(1), ByteArray(0))
        val drained = ServingSnapshot().after(LogIndex(1), ServingCommand.SetDrained(domain, true))
        val replaced = drained.after(LogIndex(2), ServingCommand.Replace(document))
        expectThat(replaced.drained).isEqualTo(setOf(domain))
        expectThat(replaced.after(LogIndex(3), ServingCommand.SetDrained(domain, true))).isSameInstanceAs(replaced)
        expectThat(replaced.after(LogIndex(4), ServingCommand.SetDrained(domain, false)).drained).isEqualTo(emptySet())
    }
}
