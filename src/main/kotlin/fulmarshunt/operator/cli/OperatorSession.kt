/*
 * The setup that both operators' programs share: settings, credentials and the connection to control.
 */
package fulmarshunt.operator.cli

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import fulmarshunt.OperatorId
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.operator.Credentials
import fulmarshunt.operator.OperatorClientLimits
import fulmarshunt.operator.OperatorTransport
import fulmarshunt.operator.operatorClient
import fulmarshunt.process.OperatorSettings
import fulmarshunt.process.Secret
import fulmarshunt.process.SettingsProblem
import fulmarshunt.process.operatorSettingsCheck
import fulmarshunt.process.parsed
import fulmarshunt.process.readSettings
import java.nio.file.Path

/** The environment variable that overrides `operator.id`. */
internal const val OPERATOR_ID_VARIABLE: String = "FULMARSHUNT_OPERATOR_ID"

/** The environment variable that overrides `operator.key`. */
internal const val OPERATOR_KEY_VARIABLE: String = "FULMARSHUNT_OPERATOR_KEY"

/** Returns the value of an environment variable, or null if it is not set. */
public typealias Environment = (String) -> String?

/** Reads the settings of an operator's program at [path]. */
public fun readOperatorSettings(path: Path): Either<SettingsProblem, OperatorSettings> =
    readSettings(path, OperatorSettings.serializer(), operatorSettingsCheck)

/** Returns the credentials of the operator; [environment] takes precedence over these settings. */
public fun OperatorSettings.credentials(environment: Environment): Either<SettingsProblem, Credentials> {
    val id = environment(OPERATOR_ID_VARIABLE) ?: operator.id?.value
    val key = environment(OPERATOR_KEY_VARIABLE) ?: operator.key?.value
    return when {
        id.isNullOrBlank() ->
            SettingsProblem("operator.id: is missing: add it to the settings or set $OPERATOR_ID_VARIABLE").left()
        key.isNullOrBlank() ->
            SettingsProblem("operator.key: is missing: add it to the settings or set $OPERATOR_KEY_VARIABLE").left()
        else -> Credentials(OperatorId(id), Secret(key)).right()
    }
}

/** Reads the settings at [path] and calls [block] with a transport to control. */
internal suspend fun <T> withControlTransport(
    path: Path,
    environment: Environment,
    limits: OperatorClientLimits,
    block: suspend (OperatorTransport, Credentials) -> T,
): Either<SettingsProblem, T> = readOperatorSettings(path).flatMap { settings ->
    settings
        .credentials(environment)
        .mapLeft { SettingsProblem("$path: ${it.message}") }
        .map { credentials ->
            linksOf("operator-${credentials.operator}", settings.link.secret.value, LinkHandlers()).use { links ->
                block(operatorClient(links, settings.control.parsed(), monotonicClock(), limits), credentials)
            }
        }
}
