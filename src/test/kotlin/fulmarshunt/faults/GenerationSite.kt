/*
 * A site that serves generations, and the steps that tests of generations share.
 */
package fulmarshunt.faults

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.ServiceId
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.PutFailureDomain
import fulmarshunt.operator.PutService
import fulmarshunt.operator.Service
import fulmarshunt.operator.ServiceKind
import fulmarshunt.sha256Hex
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.io.File
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch

private const val KEY = "vatuvara-key"

/** A caller with the key of the client account of [withGenerationSite]. */
val caller: CallerClient = CallerClient(KEY)

/** Runs [block] with a site that has three failure domains, a client account and the service `letters`. */
fun withGenerationSite(directory: File, voterCount: Int, entryCount: Int, block: (Site) -> Unit) {
    Site(directory, voterCount, entryCount).use { site ->
        site.start()
        val domains = listOf("suva", "nausori", "lautoka").map { PutFailureDomain(FailureDomain(FailureDomainId(it))) }
        val account = ClientAccount(ClientAccountId("vatuvara"), sha256Hex(KEY), maxRequestsPerSecond = 1_000.0)
        val letters = PutService(Service(ServiceId("letters"), ServiceKind.MODEL))
        site.configure(*domains.toTypedArray(), PutClientAccount(account), letters)
        site.awaitReady()
        block(site)
    }
}

/** Waits until a short generation is served through each of [entries]. */
fun Site.awaitService(entries: List<SiteEntry> = this.entries) {
    for (entry in entries) {
        awaitThat("a generation through ${entry.name}") {
            caller.stream(entry.callersPort, "warm length=2").isComplete
        }
    }
}

/** Asserts that each of [tokens] tokens arrived once, in order and from one generation. */
fun ReceivedStream.expectComplete(tokens: Int) {
    expectThat(isComplete).describedAs("complete: $rest").isTrue()
    expectThat(offsets).isEqualTo((0 until tokens).toList())
    expectThat(generations).hasSize(1)
}

/** Requests a generation of [prompt] from [entry], waits for its fifth token and returns the rest of the stream. */
fun beginStream(entry: SiteEntry, prompt: String): CompletableFuture<ReceivedStream> {
    val started = CountDownLatch(1)
    val stream = CompletableFuture.supplyAsync {
        caller.stream(entry.callersPort, prompt) { count -> if (count == 5) started.countDown() }
    }
    started.awaitOrFail()
    return stream
}
