/*
 * A demonstration for newcomers: three voters, two entry VMs, two stand-in engines and a stand-in enrolment service run
 * as separate processes; one letter is streamed and one enrolment is confirmed, and confirmed again without a second
 * run.
 */
package fulmarshunt.demo

import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.ServiceId
import fulmarshunt.faults.CallerClient
import fulmarshunt.faults.Site
import fulmarshunt.faults.awaitThat
import fulmarshunt.operator.ClientAccount
import fulmarshunt.operator.FailureDomain
import fulmarshunt.operator.NonRepeatableRule
import fulmarshunt.operator.PutClientAccount
import fulmarshunt.operator.PutFailureDomain
import fulmarshunt.operator.PutService
import fulmarshunt.operator.Service
import fulmarshunt.operator.ServiceKind
import fulmarshunt.sha256Hex
import java.nio.file.Files
import kotlin.system.exitProcess

private const val KEY = "demonstration-key"

/** Runs the demonstration. */
fun main() {
    val directory = Files.createTempDirectory("fulmarshunt-demo").toFile()
    println("Starting three voters and two entry VMs; their output is in $directory")
    Site(directory, voterCount = 3, entryCount = 2).use { site ->
        site.start()
        val revision =
            site.configure(
                PutFailureDomain(FailureDomain(FailureDomainId("suva"))),
                PutFailureDomain(FailureDomain(FailureDomainId("nausori"))),
                PutClientAccount(ClientAccount(ClientAccountId("vatuvara"), sha256Hex(KEY))),
                PutService(Service(ServiceId("letters"), ServiceKind.MODEL)),
                PutService(
                    Service(
                        ServiceId("enrolment"),
                        ServiceKind.PLAIN,
                        listOf(NonRepeatableRule("POST", "/confirmations")),
                    ),
                ),
            )
        site.awaitReady()
        println("Configuration revision $revision is in effect")
        site.engine("engine-1", "suva")
        site.engine("engine-2", "nausori")
        val service = site.plainService("app-1", "enrolment")
        showLetter(site)
        showConfirmation(site)
        println("The service ran: ${service.ran()}")
    }
    exitProcess(0)
}

private fun showLetter(site: Site) {
    val caller = CallerClient(KEY)
    awaitThat("a served request") { caller.stream(site.entries[0].callersPort, "hello length=1").isComplete }
    print("Streamed letter: ")
    val stream = caller.stream(site.entries[0].callersPort, "welcome letter length=40") { print(".") }
    println(" ${stream.tokens.size} tokens, complete: ${stream.isComplete}")
}

private fun showConfirmation(site: Site) {
    val caller = CallerClient(KEY)
    for (entry in site.entries) {
        val path = "/v1/services/enrolment/confirmations"
        awaitThat("a confirmation") {
            val answer = caller.post(entry.callersPort, path, "bed 12", "enrolment-1")
            println("Confirmation through ${entry.name}: ${answer.statusCode()} ${answer.body()}")
            answer.statusCode() == 200
        }
    }
}
