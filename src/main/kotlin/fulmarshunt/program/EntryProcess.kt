/*
 * The wiring and the graceful shutdown of an entry VM's process.
 */
package fulmarshunt.program

import arrow.core.Either
import arrow.core.raise.either
import fulmarshunt.Clock
import fulmarshunt.caller.Admissions
import fulmarshunt.caller.ClaimNotLeader
import fulmarshunt.caller.ClaimUndecided
import fulmarshunt.caller.ControlClient
import fulmarshunt.caller.GenerationDependencies
import fulmarshunt.caller.GracefulStop
import fulmarshunt.caller.PlainServiceDependencies
import fulmarshunt.caller.authenticationBy
import fulmarshunt.caller.callerGate
import fulmarshunt.caller.callerMeters
import fulmarshunt.caller.controlClientOf
import fulmarshunt.caller.generationService
import fulmarshunt.caller.http.CallerServer
import fulmarshunt.caller.http.chatRoutes
import fulmarshunt.caller.http.serviceRoutes
import fulmarshunt.caller.http.startCallerServer
import fulmarshunt.caller.plainService
import fulmarshunt.caller.requestCapacity
import fulmarshunt.entry.AdmissionRouter
import fulmarshunt.entry.EntryVm
import fulmarshunt.entry.LEASE_RENEWAL_MS
import fulmarshunt.entry.LeaseRenewer
import fulmarshunt.entry.PoolHost
import fulmarshunt.entry.PoolHostActions
import fulmarshunt.entry.admissionChannel
import fulmarshunt.entry.announcementForwarding
import fulmarshunt.entry.bindPoolMeters
import fulmarshunt.entry.hostedPoolOf
import fulmarshunt.entry.leaseRenewerOf
import fulmarshunt.entry.reportedLoads
import fulmarshunt.entry.stateChannel
import fulmarshunt.entry.stateStoreIn
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.Links
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.process.ControlThread
import fulmarshunt.process.EntrySettings
import fulmarshunt.process.PolicySettings
import fulmarshunt.process.http.HttpServer
import fulmarshunt.process.http.PlatformServer
import fulmarshunt.process.http.httpServer
import fulmarshunt.process.http.startAt
import fulmarshunt.process.http.startPlatformServer
import fulmarshunt.process.parsed
import fulmarshunt.process.processMetrics
import fulmarshunt.process.reachableAddress
import fulmarshunt.process.startControlThread
import fulmarshunt.process.validatedAddress
import fulmarshunt.target.EngineClient
import fulmarshunt.target.PoolPolicies
import fulmarshunt.target.PoolView
import fulmarshunt.target.http.announceRoutes
import fulmarshunt.target.http.httpEngineClient
import fulmarshunt.target.http.httpPlainClient
import fulmarshunt.target.poolOf
import fulmarshunt.target.poolPolicies
import fulmarshunt.voter.leaderCallsOf
import fulmarshunt.wallClock
import io.ktor.server.routing.routing
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import java.nio.file.Path
import kotlin.random.Random
import kotlin.system.exitProcess

/** How long recording a claim may take before the call is refused as not run. */
private const val CLAIM_TIMEOUT_MS = 5_000L

private const val CRASH_REPORT_TIMEOUT_MS = 5_000L

/** How often the pool metrics are updated. */
private const val POOL_METRICS_PERIOD_MS = 5_000L

/** How long the final reports to pool owners and engines may take during a shutdown. */
private const val FINAL_REPORTS_TIMEOUT_MS = 3_000L

private const val LEASE_RELEASE_TIMEOUT_MS = 2_000L
private const val SERVER_STOP_MS = 200L

/** A running entry process. */
internal class EntryProcess(
    private val settings: EntrySettings,
    private val control: ControlThread,
    private val clock: Clock,
    private val traffic: CoroutineScope,
    private val links: Links,
    private val leaseRenewer: LeaseRenewer,
    private val host: PoolHost,
    private val router: AdmissionRouter,
) {
    private val log = LogManager.getLogger(EntryProcess::class.java)
    private val background = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val poolViews = MutableStateFlow(emptyList<PoolView>())
    private var callers: CallerServer? = null
    private var targets: HttpServer? = null
    private var platform: PlatformServer? = null

    private val gracefulStop = GracefulStop()

    suspend fun start(
        engine: EngineClient,
        controlClient: ControlClient,
        metrics: PrometheusMeterRegistry,
    ): Either<String, Unit> = either {
        bindPoolMeters(metrics) { poolViews.value }
        control.scope.launch { leaseRenewer.state.collect { host.apply(it) } }
        control.scope.launch { watchLease() }
        control.every(POOL_METRICS_PERIOD_MS) { poolViews.value = host.views() }
        background.launch { router.followAssignments() }
        background.launch {
            leaseRenewer.shutdownRequested.first { it }
            log.info("An operator has requested a graceful shutdown")
            // The shutdown hook does the work; this thread waits for it.
            Thread({ exitProcess(0) }, "operator-shutdown").start()
        }
        targets = listenForTargets().mapLeft { "targets.listen: $it" }.bind()
        callers = listenForCallers(engine, controlClient, metrics).mapLeft { "callers.listen: $it" }.bind()
        platform =
            startPlatformServer(validatedAddress(settings.platform.listen), metrics, ::notReadyReasonOrNull)
                .mapLeft { "platform.listen: $it" }
                .bind()
        leaseRenewer.start()
    }

    /** Stops without interrupting a request. */
    suspend fun shutDown() {
        gracefulStop.begin()
        leaseRenewer.reportShutdown(control.run { host.release() })
        delay(settings.shutdown.drainDelayMs)
        callers?.finishRequests(settings.shutdown.finishLimitMs)
        withTimeoutOrNull(FINAL_REPORTS_TIMEOUT_MS) { traffic.coroutineContext.job.children.forEach { it.join() } }
        targets?.stop(SERVER_STOP_MS, SERVER_STOP_MS)
        callers?.stop()
        if (!leaseRenewer.release(
                LEASE_RELEASE_TIMEOUT_MS,
            )
        ) {
            log.warn("Control did not confirm the release of the lease")
        }
        background.cancel()
        platform?.close()
        links.close()
    }

    private fun notReadyReasonOrNull(): String? = when {
        gracefulStop.hasBegun -> "shutting down"
        !leaseRenewer.hasLease(clock.nowMs()) -> "no lease"
        else -> null
    }

    private suspend fun watchLease() {
        while (true) {
            val remainingMs = leaseRenewer.leaseEndsMs - clock.nowMs()
            if (remainingMs > 0) {
                delay(remainingMs)
            } else {
                host.rejectWaitingRequests()
                delay(LEASE_RENEWAL_MS)
            }
        }
    }

    private suspend fun listenForTargets(): Either<String, HttpServer> {
        val address = validatedAddress(settings.targets.listen)
        val server =
            httpServer(address) {
                routing { announceRoutes(announcementForwarding({ leaseRenewer.state.value }, router::announce)) }
            }
        return server.startAt(address).map { server }
    }

    private suspend fun listenForCallers(
        engine: EngineClient,
        controlClient: ControlClient,
        metrics: PrometheusMeterRegistry,
    ): Either<String, CallerServer> {
        val state = { leaseRenewer.state.value }
        val gate = callerGate(control, clock, state, requestCapacity(Runtime.getRuntime().maxMemory()))
        val meters = callerMeters(metrics)
        val admissions = Admissions(router::admit, router::use, router::progress, router::end)
        val generate =
            generationService(
                GenerationDependencies(
                    vm = settings.vm.id,
                    clock = clock,
                    state = state,
                    gate = gate,
                    admissions = admissions,
                    engine = engine,
                    traffic = traffic,
                    meters = meters,
                    givenUp = gracefulStop.givenUp,
                ),
            )
        val serve =
            plainService(
                PlainServiceDependencies(
                    vm = settings.vm.id,
                    clock = clock,
                    state = state,
                    gate = gate,
                    admissions = admissions,
                    send = httpPlainClient(),
                    claims = { call ->
                        controlClient.claim(call, CLAIM_TIMEOUT_MS).takeIf {
                            it !is ClaimNotLeader && it !is ClaimUndecided
                        }
                    },
                    traffic = traffic,
                    meters = meters,
                    givenUp = gracefulStop.givenUp,
                ),
            )
        val authenticate = authenticationBy { leaseRenewer.state.value.configuration.accounts }
        return startCallerServer(validatedAddress(settings.callers.listen), gracefulStop) {
            chatRoutes(authenticate, generate, wallClock())
            serviceRoutes(authenticate, serve)
        }
    }
}

/** Starts the components of an entry VM; returns the process, or why it cannot be started. */
internal suspend fun startEntry(settings: EntrySettings): Either<String, EntryProcess> = either {
    val clock = monotonicClock()
    val control = startControlThread()
    val traffic = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    val hostDeferred = CompletableDeferred<PoolHost>()
    val renewerDeferred = CompletableDeferred<LeaseRenewer>()
    val handlers =
        LinkHandlers()
            .with(stateChannel) { _, push -> renewerDeferred.await().receive(push) }
            .with(admissionChannel) { _, call -> hostDeferred.await().handle(call) }
    val links = linksOf(settings.vm.id.value, settings.link.secret.value, handlers)
    links.listen(validatedAddress(settings.link.listen)).mapLeft { "link.listen: $it" }.bind()
    val leaderCalls = leaderCallsOf(links, settings.control.parsed())
    val vm = EntryVm(settings.vm.id, settings.reachableAddress(), settings.vm.failureDomain)
    val store = settings.vm.dataDirectory?.let { stateStoreIn(Path.of(it)) }
    val leaseRenewer = leaseRenewerOf(vm, leaderCalls, control, clock, store).mapLeft {
        "vm.data_directory: $it"
    }.bind()
    val controlClient = controlClientOf(leaderCalls)
    val engine = httpEngineClient()
    val metrics = processMetrics()
    val host =
        PoolHost(
            vm = vm.id,
            clock = clock,
            control = control,
            traffic = traffic,
            hasLease = leaseRenewer::hasLease,
            createPool = { id, fence, untilMs ->
                hostedPoolOf(poolOf(id, fence, untilMs, policiesOf(settings.policies), Random.Default))
            },
            actions = PoolHostActions(
                cancel = engine.cancel,
                list = engine.list,
                reportCrash = { controlClient.reportCrash(it, CRASH_REPORT_TIMEOUT_MS) },
                load = reportedLoads(engine.load, metrics),
            ),
        )
    val router =
        AdmissionRouter(
            vm = vm.id,
            domain = vm.domain,
            clock = clock,
            state = leaseRenewer.state,
            hasLease = leaseRenewer::hasLease,
            callLocal = host::handle,
            callOwner = { address, call, timeoutMs -> links.call(address, admissionChannel, call, timeoutMs) },
            traffic = traffic,
        )
    renewerDeferred.complete(leaseRenewer)
    hostDeferred.complete(host)
    EntryProcess(settings, control, clock, traffic, links, leaseRenewer, host, router)
        .also { it.start(engine, controlClient, metrics).bind() }
}

private fun policiesOf(settings: PolicySettings): PoolPolicies = checkNotNull(
    poolPolicies(settings.queue, settings.routing, settings.admission, settings.slowStart).getOrNull(),
) { "the policies were not validated" }
