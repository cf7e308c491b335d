/*
 * Validation of settings values. A check is a function from the settings to the same settings or a problem; [checkAll]
 * combines checks of single fields.
 */
package fulmarshunt.process

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import fulmarshunt.parseAddress

/** Returns its argument, or the first problem in it. */
public typealias SettingsCheck<T> = (T) -> Either<SettingsProblem, T>

/** The minimum length of secrets; shorter ones can be guessed. */
public const val MIN_SECRET_CHARACTERS: Int = 16

/** Returns a check that applies [checks] in order and stops at the first problem. */
public fun <T> checkAll(vararg checks: (T) -> Either<SettingsProblem, Unit>): SettingsCheck<T> = { settings ->
    checks.firstNotNullOfOrNull { it(settings).leftOrNull() }?.left() ?: settings.right()
}

/** Checks that [value] is in [range]. */
public fun inRange(field: String, value: Long, range: LongRange): Either<SettingsProblem, Unit> =
    ensure(value in range) { "$field: $value is out of range: use ${range.first} to ${range.last}" }

/** Checks that [value] is greater than zero and finite. */
public fun positive(field: String, value: Double): Either<SettingsProblem, Unit> =
    ensure(value.isFinite() && value > 0) { "$field: $value is out of range: use a number greater than 0" }

/** Checks that [value] is at least zero and finite. */
public fun notNegative(field: String, value: Double): Either<SettingsProblem, Unit> =
    ensure(value.isFinite() && value >= 0) { "$field: $value is out of range: use a number of at least 0" }

/** Checks that [text] is not blank. */
public fun notBlank(field: String, text: String): Either<SettingsProblem, Unit> =
    ensure(text.isNotBlank()) { "$field: is empty: give a value" }

/** Checks that [items] has an element. */
public fun notEmpty(field: String, items: Collection<*>): Either<SettingsProblem, Unit> =
    ensure(items.isNotEmpty()) { "$field: is empty: give at least one element" }

/** Checks that [secret] is long enough; the message does not contain it. */
public fun strongSecret(field: String, secret: Secret): Either<SettingsProblem, Unit> = when {
    secret.value.isBlank() -> SettingsProblem("$field: is empty: give a random secret").left()
    else -> ensure(secret.value.length >= MIN_SECRET_CHARACTERS) {
        "$field: is too short: use at least $MIN_SECRET_CHARACTERS random characters"
    }
}

/** Checks that [text] is an address that a process can listen at. */
public fun validListenAddress(field: String, text: String): Either<SettingsProblem, Unit> =
    parseAddress(text).fold({ SettingsProblem("$field: $it: write it as \"IP:PORT\"").left() }, { Unit.right() })

/** Checks that [text] is an address that another process can be reached at. */
public fun validPeerAddress(field: String, text: String): Either<SettingsProblem, Unit> = parseAddress(text).fold(
    { SettingsProblem("$field: $it: write it as \"IP:PORT\"").left() },
    { ensure(it.port != 0) { "$field: \"$text\" has port 0: use the port that the process listens at" } },
)

/** Applies [check] to each of [items]; the field name of an item ends with its index. */
public fun <T> each(
    field: String,
    items: List<T>,
    check: (String, T) -> Either<SettingsProblem, Unit>,
): Either<SettingsProblem, Unit> = items
    .withIndex()
    .firstNotNullOfOrNull { (index, item) -> check("$field[$index]", item).leftOrNull() }
    ?.left() ?: Unit.right()

private fun ensure(condition: Boolean, message: () -> String): Either<SettingsProblem, Unit> =
    if (condition) Unit.right() else SettingsProblem(message()).left()
