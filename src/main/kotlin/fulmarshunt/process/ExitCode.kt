/*
 * How a program ends: the exit code is the same for all programs.
 */
package fulmarshunt.process

/** The exit codes of the programs. */
public enum class ExitCode(
    /** The number that the process returns. */
    public val number: Int,
) {
    /** The program did what it was asked. */
    DONE(0),

    /** The request was refused or was in conflict with a newer configuration. */
    REFUSED(1),

    /** The command line or the settings are wrong. */
    USAGE(2),

    /** Control could not be reached, or the outcome is not known. */
    UNREACHABLE(3),

    /** The program found a state that must not occur. */
    BROKEN_INVARIANT(4),
}

/** How a program ended; [problem] is one line for standard error, or null if there is nothing to report. */
public data class ProgramOutcome(public val code: ExitCode, public val problem: String? = null)
