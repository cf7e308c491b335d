/*
 * The outcome of a program; all programs share the same exit codes.
 */
package fulmarshunt.process

/** The exit codes of the programs. */
public enum class ExitCode(
    /** The number that the process returns. */
    public val number: Int,
) {
    /** The program succeeded. */
    DONE(0),

    /** The request was refused or conflicts with a newer configuration. */
    REFUSED(1),

    /** The command line or the settings are wrong. */
    USAGE(2),

    /** No control VM could be reached, or the outcome of the request is unknown. */
    UNREACHABLE(3),

    /** The program detected a broken invariant. */
    BROKEN_INVARIANT(4),
}

/** The outcome of a program; [problem] is one line for standard error, or null if there is nothing to report. */
public data class ProgramOutcome(public val code: ExitCode, public val problem: String? = null)
