/*
 * The services of a control VM on top of its replicated log. Every voter runs them; only the leader answers calls.
 */
package fulmarshunt.voter

import fulmarshunt.Clock
import fulmarshunt.Term
import fulmarshunt.caller.ClaimService
import fulmarshunt.entry.LeaseService
import fulmarshunt.link.LinkHandlers
import fulmarshunt.operator.OperatorService
import fulmarshunt.process.ControlThread
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collectLatest
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager

/** The pause between two tries to confirm leadership or to commit the first operator. */
private const val RETRY_MS = 100L

/** The time between two looks for what has expired; claims and quarantines last for hours. */
private const val EXPIRY_PERIOD_MS = 1_000L

/** Answers entry VMs, callers' claims and operators while its voter leads. */
public class ControlService internal constructor(
    private val control: ControlThread,
    private val machine: ControlStateMachine,
    private val log: LogAccess,
    private val firstOperator: AddFirstOperator?,
    clock: Clock,
    private val wallClock: Clock,
) {
    private val logger = LogManager.getLogger(ControlService::class.java)
    private val proposer = LogProposer(log, control.scope)
    private val leases = LeaseService(control, machine, log, proposer, clock, wallClock)
    private val claims = ClaimService(proposer, wallClock)
    private val operators = OperatorService(machine, log, proposer, leases, wallClock)

    /** Returns [base] with the handlers of the lease, claim and operator channels. */
    public fun handlers(base: LinkHandlers): LinkHandlers = operators.handlers(claims.handlers(leases.handlers(base)))

    /** Follows the leadership of the log until the control thread is closed. */
    public fun start() {
        proposer.start()
        leases.start()
        control.scope.launch {
            log.leadership.map { if (it.isLeader) it.term else null }.distinctUntilChanged().collectLatest { term ->
                if (term != null) lead(term)
            }
        }
    }

    private suspend fun lead(term: Term): Unit = coroutineScope {
        // Only then are all entries of earlier leaders applied, and no earlier leader grants leases any more.
        while (!log.confirmLeadership(PROPOSE_TIMEOUT_MS)) delay(RETRY_MS)
        logger.info("This voter leads in term {}", term)
        launch { leases.lead(term) }
        if (firstOperator != null) addFirstOperator(firstOperator)
        while (true) {
            val now = wallClock.nowMs()
            if (machine.state.value.hasExpired(now)) proposer.propose(Expire(now))
            delay(EXPIRY_PERIOD_MS)
        }
    }

    private suspend fun addFirstOperator(command: AddFirstOperator) {
        while (machine.state.value.shared.configuration.operators.isEmpty()) {
            proposer.propose(command).onLeft { delay(RETRY_MS) }
        }
    }
}

/**
 * Returns the services over [log], whose entries are applied to [machine].
 *
 * @param firstOperator the operator of a new cluster, or null if operators are expected to exist.
 */
public fun controlServiceOf(
    control: ControlThread,
    machine: ControlStateMachine,
    log: LogAccess,
    firstOperator: AddFirstOperator?,
    clock: Clock,
    wallClock: Clock,
): ControlService = ControlService(control, machine, log, firstOperator, clock, wallClock)
