/*
 * A demonstration: three control VMs, two entry VMs, two stand-in engines and a stand-in enrolment
 * service run as separate processes; one letter is streamed and one enrolment is confirmed, and confirmed again without
 * a second run.
 */
package fulmarshunt.demo

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.Revision
import fulmarshunt.ServiceId
import fulmarshunt.faults.CallerClient
import fulmarshunt.faults.Site
import fulmarshunt.faults.SiteTarget
import fulmarshunt.faults.awaitThat
import fulmarshunt.faults.eventually
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.NonRepeatableRule
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.PutFailureDomain
import fulmarshunt.operator.PutService
import fulmarshunt.operator.Service
import fulmarshunt.operator.ServiceKind
import fulmarshunt.sha256Hex
import fulmarshunt.standin.runTool
import java.nio.file.Files

private const val KEY = "demonstration-key"

private const val LETTER_TOKENS = 40

/** Runs the demonstration. */
fun main(arguments: Array<String>): Unit = runTool("demo", arguments, emptySet()) {
    val directory = Files.createTempDirectory("fulmarshunt-demo").toFile()
    println("Starting three control VMs and two entry VMs; settings, logs and data are in $directory")
    Site(directory, voterCount = 3, entryCount = 2).use { site ->
        site.start()
        val revision = configure(site)
        site.awaitReady()
        println("Configuration revision ${revision.value} is in effect, both entry VMs are ready")
        println("Starting two stand-in engines and a stand-in enrolment service")
        site.engine("engine-1", "suva")
        site.engine("engine-2", "nausori")
        val service = site.plainService("app-1", "enrolment")
        showLetter(site)
        showConfirmation(site, service)
    }
    directory.deleteRecursively()
    println("Done; all processes were ended and $directory was removed")
}

private fun configure(site: Site): Revision = site.configure(
    PutFailureDomain(FailureDomain(FailureDomainId("suva"))),
    PutFailureDomain(FailureDomain(FailureDomainId("nausori"))),
    PutClientAccount(ClientAccount(ClientAccountId("vatuvara"), sha256Hex(KEY))),
    PutService(Service(ServiceId("letters"), ServiceKind.MODEL)),
    PutService(
        Service(ServiceId("enrolment"), ServiceKind.PLAIN, listOf(NonRepeatableRule("POST", "/confirmations"))),
    ),
)

private fun showLetter(site: Site) {
    val caller = CallerClient(KEY)
    val port = site.entries[0].callersPort
    awaitThat("a served request") { caller.stream(port, "hello length=1").isComplete }
    println("A letter, streamed through entry-1; the stand-in engine numbers its tokens instead of writing words:")
    val stream = caller.stream(port, "welcome letter length=$LETTER_TOKENS") { print(" $it") }
    println()
    val isLetterComplete = stream.isComplete && stream.offsets == (0 until LETTER_TOKENS).toList()
    check(isLetterComplete) { "the letter is incomplete or out of order: ${stream.offsets} ${stream.rest}" }
    val engines = stream.generations.size
    println("The letter is complete: ${stream.tokens.size} tokens in order from $engines generation")
}

private fun showConfirmation(site: Site, service: SiteTarget) {
    val caller = CallerClient(KEY)
    val path = "/v1/services/enrolment/confirmations"
    println("An enrolment that must run at most once, sent with Idempotency-Key enrolment-1 through each entry VM:")
    for (entry in site.entries) {
        // The first call may be refused as not run until the service has announced itself.
        val response =
            eventually("a confirmation") {
                caller.post(entry.callersPort, path, "bed 12", "enrolment-1").takeIf { it.statusCode() == 200 }
            }
        println("  ${entry.name}: ${response.statusCode()} ${response.body()}")
    }
    val ran = service.ran()
    check(ran.size == 1) { "the service ran the confirmation ${ran.size} times: $ran" }
    println("The second response is the recorded one; the service ran one call: ${ran.single()}")
}
