/*
 * The selection of the headers of an HTTP message that are forwarded.
 */
package fulmarshunt.process.http

import io.ktor.http.Headers

/** Headers that apply to a single connection and are not forwarded. */
public val connectionHeaders: Set<String> =
    setOf(
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )

/** Returns a name-value pair for each value of the headers whose lower-case names are not in [dropped]. */
public fun Headers.pairsWithout(dropped: Set<String>): List<Pair<String, String>> = entries()
    .filter { (name, _) -> name.lowercase() !in dropped }
    .flatMap { (name, values) -> values.map { name to it } }
