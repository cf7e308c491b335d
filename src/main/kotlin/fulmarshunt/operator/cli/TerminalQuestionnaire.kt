/*
 * The questionnaire on a terminal. A question is repeated until its answer is valid.
 */
package fulmarshunt.operator.cli

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import fulmarshunt.ClientAccountId
import fulmarshunt.FailureDomainId
import fulmarshunt.OperatorId
import fulmarshunt.ServiceId
import fulmarshunt.operator.AccountAnswer
import fulmarshunt.operator.Answers
import fulmarshunt.operator.FailureDomainAnswer
import fulmarshunt.operator.NonRepeatableAnswer
import fulmarshunt.operator.OperatorAnswer
import fulmarshunt.operator.Permission
import fulmarshunt.operator.ServiceAnswer
import fulmarshunt.operator.ServiceKind
import fulmarshunt.operator.findNameProblem
import fulmarshunt.operator.findProblem

/** Returns the next line of input, or null at its end. */
public typealias LineSource = () -> String?

/** Asks all questions; on the left is why the answers cannot be used. */
internal fun askQuestions(print: (String) -> Unit, readLine: LineSource): Either<String, Answers> = either {
    val answers = TerminalQuestionnaire(print, readLine, this).askAll()
    findProblem(answers)?.let { raise(it) }
    answers
}

/** Asks the questions on a terminal; raises a problem at the end of the input. */
private class TerminalQuestionnaire(
    private val print: (String) -> Unit,
    private val readLine: LineSource,
    private val raise: Raise<String>,
) {
    private val accountDefaults = AccountAnswer(ClientAccountId(""))
    private val serviceDefaults = ServiceAnswer(ServiceId(""), ServiceKind.MODEL)
    private val domainDefaults = FailureDomainAnswer(FailureDomainId(""))

    fun askAll(): Answers {
        val team = ask("Name of the team")
        val domains = askEach("failure domain", { findProblem("failure domain", it) }, ::askDomain)
        val services = askEach("service", { findProblem("service", it) }, ::askService)
        return Answers(
            team = team,
            failureDomains = domains,
            services = services,
            weightStoreBytesPerSecond = if (services.any { it.weightBytes > 0 }) askWeightStoreRate() else null,
            accounts = askEach("client account", { findProblem("client account", it) }, ::askAccount),
            operators = askEach("operator", { findProblem("operator", it) }, ::askOperator),
        )
    }

    private fun askDomain(name: String) = FailureDomainAnswer(
        FailureDomainId(name),
        ask("Region", domainDefaults.region),
        ask("Shards", domainDefaults.shards, String::toIntOrNull),
    )

    private fun askService(name: String): ServiceAnswer {
        val kind = ask("Kind, model or plain", ServiceKind.MODEL) { text ->
            ServiceKind.entries.firstOrNull { it.name.equals(text, ignoreCase = true) }
        }
        return if (kind == ServiceKind.PLAIN) {
            val rules = ask("Calls not to be repeated, such as POST /bookings, * /pickups, or none", "") { text ->
                text.takeIf { parseRulesOrNull(it) != null }
            }
            ServiceAnswer(ServiceId(name), kind, if (rules.isEmpty()) null else parseRulesOrNull(rules))
        } else {
            ServiceAnswer(
                ServiceId(name),
                kind,
                shortMaxTokens = ask(
                    "Short answer limit in tokens",
                    serviceDefaults.shortMaxTokens,
                    String::toIntOrNull,
                ),
                defaultMaxTokens = ask(
                    "Default output limit in tokens",
                    serviceDefaults.defaultMaxTokens,
                    String::toIntOrNull,
                ),
                weightBytes = ask("Weight size in bytes", serviceDefaults.weightBytes, String::toLongOrNull),
            )
        }
    }

    private fun askWeightStoreRate(): Long? =
        ask("Rate of the weight store in bytes per second (empty to keep it)", "") { text ->
            text.takeIf { it.toLongOrNull() != null }
        }.toLongOrNull()

    private fun askAccount(name: String) = AccountAnswer(
        ClientAccountId(name),
        ask("Weight", accountDefaults.weight, String::toDoubleOrNull),
        ask("Requests per second", accountDefaults.maxRequestsPerSecond, String::toDoubleOrNull),
        ask("Concurrent requests", accountDefaults.maxConcurrentRequests, String::toIntOrNull),
        askKeyHash(),
    )

    private fun askOperator(name: String) = OperatorAnswer(
        OperatorId(name),
        ask("Permissions: configure, operate, administer", emptySet(), ::parsePermissionsOrNull),
        askKeyHash(),
    )

    private fun askKeyHash(): String? = ask("SHA-256 of an existing key (empty to make or keep a key)", "").ifEmpty {
        null
    }

    /** Asks for items until the name is empty; an invalid item is rejected and asked for again. */
    private fun <T> askEach(kind: String, problemOrNull: (T) -> String?, askOne: (String) -> T): List<T> {
        val items = mutableListOf<T>()
        while (true) {
            val name = ask("Name of the next $kind (empty to go on)", "")
            if (name.isEmpty()) return items
            val nameProblem = findNameProblem("$kind.name", name)
            val item = if (nameProblem == null) askOne(name) else null
            val problem = nameProblem ?: item?.let(problemOrNull)
            if (problem == null && item != null) items += item else print("$problem")
        }
    }

    /** Asks [question] until the answer is not empty. */
    private fun ask(question: String): String {
        while (true) {
            val answer = ask(question, "")
            if (answer.isNotEmpty()) return answer
            print("$question: is empty: give a value")
        }
    }

    private fun ask(question: String, default: String): String = ask(question, default) { it }

    /** Asks [question] until [parseOrNull] accepts the answer; an empty answer means [default]. */
    private fun <T : Any> ask(question: String, default: T, parseOrNull: (String) -> T?): T {
        val shown = "$default".takeIf { it.isNotEmpty() && it != "[]" }
        while (true) {
            print(question + shown?.let { " [${it.lowercase()}]" }.orEmpty() + ":")
            val text = raise.ensureNotNull(readLine()) {
                "the input ended at \"$question\": answer all questions"
            }.trim()
            val answer = if (text.isEmpty()) default else parseOrNull(text)
            if (answer != null) return answer
            print("$question: \"$text\" cannot be understood: use the format that the question shows")
        }
    }
}

/** Parses rules such as `POST /bookings, * /pickups`, or `none`. */
private fun parseRulesOrNull(text: String): List<NonRepeatableAnswer>? {
    if (text == "none") return emptyList()
    return text.split(',').map { rule ->
        val parts = rule.trim().split(' ')
        if (parts.size != 2) return null
        NonRepeatableAnswer(parts[0].uppercase(), parts[1])
    }
}

private fun parsePermissionsOrNull(text: String): Set<Permission>? = text
    .split(',', ' ')
    .filter { it.isNotBlank() }
    .map { word -> Permission.entries.firstOrNull { it.name.equals(word, ignoreCase = true) } ?: return null }
    .toSet()
