/*
 * The names of the headers of the platform.
 */
package fulmarshunt.platform

/** The header names of the platform. */
internal object HeaderName {
    const val REQUEST_ID = "Fulmarshunt-Request-Id"

    /** In a request, the caller's timeout; in a request to a target, the time that remains for it. */
    const val DEADLINE_MS = "Fulmarshunt-Deadline-Ms"
    const val KEY = "Api-Key"
    const val ACCOUNT = "Fulmarshunt-Tenant"
    const val EXPECTED_TARGET = "Fulmarshunt-Expect-Instance"
    const val EXPECTED_VERSION = "Fulmarshunt-Expect-Version"

    /** The number of prompt tokens and the greatest number of output tokens, separated by a comma. */
    const val TOKEN_COUNTS = "Fulmarshunt-Token-Counts"

    /** The parts of the prompt, each as its id in hexadecimal and its number of tokens. */
    const val PROMPT_PARTS = "Fulmarshunt-Prefix-Hash"

    /** The caller's estimate of the output tokens. */
    const val LENGTH_HINT = "Fulmarshunt-Length-Hint"

    /** The priority, from 0, the most urgent, to 9. */
    const val PRIORITY = "Fulmarshunt-Request-Priority"
    const val HOLD = "Fulmarshunt-Hold"
    const val PIN_MS = "Fulmarshunt-Pin-Ms"

    /** The target that receives a copy of the memory of the run. */
    const val COPY_AT = "Fulmarshunt-Kv-Backup"

    /** The target and the handle of the memory from which a run resumes. */
    const val RESUME_FROM = "Kv-From"
    const val FETCH_FROM = "Kv-Fetch"
    const val LAST_EVENT_ID = "Last-Event-Id"

    /** A MAC over the response; its presence marks a response of a target. */
    const val STAMP = "Fulmarshunt-Server-Stamp"
    const val NOT_RUN = "Fulmarshunt-Not-Run"
    const val RETRY_AFTER = "Retry-After"
    const val DATE = "Date"

    /** `1` in each response of a target that is leaving. */
    const val LEAVING = "Server-Leaving"

    /** The running requests, the waiting ones, the slots and, of some targets, how long work takes, in percent. */
    const val LOAD = "Fulmarshunt-Server-Load"

    /** The requests in a second that a target in need takes from all entry VMs together, a decimal number. */
    const val LIMIT = "Server-Limit"

    /** The refusals in a second after which a brittle target fails, a decimal number. */
    const val BRITTLE = "Server-Brittle"
}

/** Headers that only this system sets in requests to targets; values from callers are removed. Lower case. */
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
