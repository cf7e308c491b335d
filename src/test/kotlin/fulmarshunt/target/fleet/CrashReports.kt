/*
 * Crash reports as tests make them.
 */
package fulmarshunt.target.fleet

/** Adds reports of crashes that happen now, and returns those that are new. */
internal fun CrashReportTable.receive(reports: List<CrashReport>, nowMs: Long): List<CrashReport> =
    receive(reports.associateWith { 0L }, nowMs).keys.toList()
