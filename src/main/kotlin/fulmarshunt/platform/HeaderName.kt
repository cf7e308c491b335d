/*
 * The names that the platform uses in headers and paths.
 */
package fulmarshunt.platform

internal object HeaderName {
    const val REQUEST_ID = "Fulmarshunt-Request-Id"

    /** How long the caller waits, counted from the request; towards a target, how long it may work. */
    const val DEADLINE_MS = "Fulmarshunt-Deadline-Ms"
    const val KEY = "Api-Key"
    const val ACCOUNT = "Fulmarshunt-Tenant"
    const val EXPECTED_TARGET = "Fulmarshunt-Expect-Instance"
    const val EXPECTED_VERSION = "Fulmarshunt-Expect-Version"

    /** Prompt tokens and the greatest number of output tokens, separated by a comma. */
    const val TOKEN_COUNTS = "Fulmarshunt-Token-Counts"

    /** The caller's estimate of the output tokens. */
    const val LENGTH_HINT = "Fulmarshunt-Length-Hint"

    /** From 0, first, to 9. */
    const val PRIORITY = "Fulmarshunt-Request-Priority"
    const val HOLD = "Fulmarshunt-Hold"
    const val PIN_MS = "Fulmarshunt-Pin-Ms"

    /** The target that keeps a copy of the memory of the run. */
    const val COPY_AT = "Fulmarshunt-Kv-Backup"

    /** The target and handle from which a run goes on. */
    const val RESUME_FROM = "Kv-From"
    const val FETCH_FROM = "Kv-Fetch"
    const val LAST_EVENT_ID = "Last-Event-Id"

    /** A MAC over the answer; its presence says that the answer is a target's. */
    const val STAMP = "Fulmarshunt-Server-Stamp"
    const val NOT_RUN = "Fulmarshunt-Not-Run"
    const val RETRY_AFTER = "Retry-After"
}

/** Headers that only the system sets towards targets; what callers send under these names is dropped. */
internal val systemHeaders: Set<String> = setOf(
    HeaderName.KEY,
    HeaderName.ACCOUNT,
    HeaderName.DEADLINE_MS,
    HeaderName.EXPECTED_TARGET,
    HeaderName.EXPECTED_VERSION,
    HeaderName.PRIORITY,
    HeaderName.HOLD,
    HeaderName.PIN_MS,
    HeaderName.COPY_AT,
    HeaderName.RESUME_FROM,
    HeaderName.FETCH_FROM,
    HeaderName.LAST_EVENT_ID,
).mapTo(mutableSetOf()) { it.lowercase() }
