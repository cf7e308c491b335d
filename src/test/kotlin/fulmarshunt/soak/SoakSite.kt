/*
 * The deployments that a soak can run: a small one for short runs, and those of the platform's sheets with their
 * numbers of VMs and targets, time limits, objectives and allowances.
 */
package fulmarshunt.soak

/** The figures of a deployment. */
internal data class SoakSite(
    val entries: Int = 4,
    val engines: Int = 4,
    /** The repeats that are allowed in a window regardless of the number of requests. */
    val repeatAllowance: Int = 56,
    val plainLimitMs: Int = 2_500,
    val plainObjectiveMs: Int = 600,
    val plainSlots: Int = 8,
    val streamLimitMs: Int = 12_000,
    val streamObjectiveMs: Int = 600,
    val engineSlots: Int = 8,
    val shortStreamEvents: Int = 30,
    val longStreamEvents: Int = 150,
    /** How all targets crash, or null if they do so in different ways. */
    val crashStyle: SoakCrashStyle? = null,
    /** False for entry VMs of an older version, whose settings have no address for tunnels. */
    val hasForwarding: Boolean = true,
    /** The routes of each configuration that nobody uses; 2,800 make a document of 0.6 MB. */
    val moreRoutes: Int = 0,
    /** The rate in kbit/s of each connection on which a control VM sends to another VM, or 0 for no limit. */
    val linkKbps: Int = 0,
)

/** Returns the deployment called [name]. */
internal fun soakSite(name: String): SoakSite = when (name) {
    "small" -> SoakSite()
    "repasso-dkr" -> SoakSite(
        entries = 8,
        engines = 6,
        plainObjectiveMs = 193,
        plainSlots = 6,
        streamLimitMs = 39_000,
        streamObjectiveMs = 1_800,
        engineSlots = 32,
        shortStreamEvents = 3,
        longStreamEvents = 234,
    )
    "vtv-welcome" -> soakSite("repasso-dkr").copy(
        entries = 9,
        engines = 10,
        repeatAllowance = 58,
        plainLimitMs = 1_500,
        engineSlots = 24,
        longStreamEvents = 235,
    )
    else -> throw IllegalArgumentException("no deployment is called $name")
}
