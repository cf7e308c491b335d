/*
 * Which other control VMs a control VM reaches. Each change is logged; failures of one that was never reached are
 * logged at most once in some seconds. Confined to the control thread, except for [ControlContacts.reachedCount].
 */
package fulmarshunt.entry.watch

import fulmarshunt.Address
import fulmarshunt.process.LimitedLog
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager

/** The control VMs that replied last. */
internal class ControlContacts {
    private val log = LogManager.getLogger(ControlContacts::class.java)
    private val failureLog = LimitedLog(log)
    private val reached = mutableSetOf<Address>()

    /** The number of reached control VMs. May be read from any thread. */
    @Volatile
    var reachedCount: Int = 0
        private set

    /** Records the result of a call to [address]; [problem] is null if it replied. */
    fun record(address: Address, problem: String?) {
        if (problem == null) {
            if (reached.add(address)) log.info("control-vm reached address={}", address)
        } else if (reached.remove(address)) {
            log.warn("control-vm lost address={} reason={}", address, problem)
        } else {
            failureLog.log(Level.WARN, "control-vm not reached address=$address reason=$problem")
        }
        reachedCount = reached.size
    }

    /** Forgets control VMs that are not [present] any more. */
    fun retain(present: Set<Address>) {
        reached.retainAll(present)
        reachedCount = reached.size
    }
}
