/*
 * The seeded faults of a soak. Several series run side by side: one for control VMs, of which at most one is disturbed
 * at a time, one that disturbs entry VMs, one that stops them with SIGTERM, one for targets, one for configurations,
 * one that cuts entry VMs from all targets and one for failing last moves. The first ones begin with the faults of
 * issue 32 and go on at random.
 */
package fulmarshunt.soak

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.random.Random

/** The duration for which an evacuation is observed after the core is calm again. */
private const val OBSERVED_EVACUATION_MS = 12_000L
private const val SHUTDOWN_OF_SERIES_MS = 30_000L

/** The time for which restarted entry VMs serve before they are killed again. */
private const val SERVED_BETWEEN_KILLS_MS = 1_500L

/** The kills of all entry VMs within about one window of the budget; each loses what the processes remember. */
private const val KILLS_OF_ENTRIES = 3
private const val READY_LIMIT_NS = 8_000_000_000L
private const val READY_POLL_MS = 100L

/** A series of SIGTERM begins after this time, so that also a short run has one while the VMs are otherwise calm. */
private const val FIRST_STOP_MS = 16_000L

/** Every other fault of targets drains an engine, so that runs continue elsewhere in each soak. */
private const val DRAIN_PERIOD = 2
private const val DRAIN_STEP = 1
private const val DRAIN_FAULT = 3

/** During a series of SIGTERM, an engine leaves for each of this many, so that runs move while their VM stops. */
private const val STOPS_PER_RELEASE = 3

private const val AFTER_FIRST_CUT_MS = 1_000L

/** Longer than the 3 s after which a cut is judged. */
private const val MIN_CUT_MS = 8_000L
private const val MAX_CUT_MS = 14_000L
private const val MOST_ENTRIES_SHARE = 0.75

/** So that VMs and targets have settled; each request that crashes targets comes for some 14 s. */
private const val FIRST_CRASH_MS = 2_000L
private const val SENDS_OF_CRASHING = 12
private const val FAILED_MOVES_MS = 8_000L
private const val FAILED_MOVES_PROBABILITY = 0.7

/** A replaced engine leaves after 3 s and ends after another 3 s. */
private const val MIN_LEAVES_MS = 3_000L
private const val MAX_LEAVES_MS = 5_000L
private const val LEAVING_ENGINES_ONE_IN = 3
private const val MISPLACED_PROBABILITY = 0.5

/** The series of faults, which run side by side. */
internal enum class SoakSeries {
    CONTROLS,
    ENTRIES,
    TARGETS,
    OPERATOR,
    STOPS,

    /** Targets name limits of their requests. */
    LIMITS,
    CUTS,
    MOVES,

    /** Engines leave one after another, and some send events that their callers have already. */
    LEAVES,

    /** Requests crash the plain targets that run them. */
    PLAIN_CRASHES,

    /** Requests crash the engines that run them. */
    ENGINE_CRASHES,
}

/** The series of a soak for which none are named. */
internal val usualSeries: Set<SoakSeries> =
    SoakSeries.entries.toSet() -
        setOf(SoakSeries.LIMITS, SoakSeries.LEAVES, SoakSeries.PLAIN_CRASHES, SoakSeries.ENGINE_CRASHES)

/** Runs the faults for [durationMs]; [run] returns the number of faults. */
internal class SoakFaults(
    private val site: SoakDeployment,
    private val operator: SoakOperator,
    private val seed: Long,
    durationMs: Long,
    private val series: Set<SoakSeries>,
) {
    private val endNs = System.nanoTime() + durationMs * 1_000_000
    private val count = AtomicInteger()

    /** Held while an entry VM is disturbed, so that only one series acts on it. */
    private val entryLocks = List(site.entryCount) { ReentrantLock(true) }

    /** Held while a control VM is disturbed. */
    private val coreLock = ReentrantLock(true)

    /** Held while targets are disturbed. */
    private val targetLock = ReentrantLock(true)

    private val bodies: Map<SoakSeries, (Random) -> Unit> = mapOf(
        SoakSeries.CONTROLS to ::disturbControls,
        SoakSeries.ENTRIES to ::disturbEntries,
        SoakSeries.TARGETS to ::disturbTargets,
        SoakSeries.OPERATOR to ::operate,
        SoakSeries.STOPS to ::stopEntries,
        SoakSeries.LIMITS to ::limitTargets,
        SoakSeries.CUTS to ::cutEntries,
        SoakSeries.MOVES to ::failMoves,
        SoakSeries.LEAVES to ::replaceEngines,
        SoakSeries.PLAIN_CRASHES to ::crashPlainTargets,
        SoakSeries.ENGINE_CRASHES to ::crashEngines,
    )

    private fun isOver() = System.nanoTime() > endNs

    fun run(): Int {
        val failures = ConcurrentLinkedQueue<Throwable>()
        val threads = series.map { series ->
            val body = bodies.getValue(series)
            thread(isDaemon = true) {
                runCatching { body(Random(seed * 10 + series.ordinal)) }.onFailure(failures::add)
            }
        }
        threads.forEach { it.join(maxOf(0, (endNs - System.nanoTime()) / 1_000_000) + SHUTDOWN_OF_SERIES_MS) }
        failures.peek()?.let { throw IllegalStateException("a series of faults ended early", it) }
        check(threads.none { it.isAlive }) { "a series of faults did not end" }
        return count.get()
    }

    /** Waits up to [ms], at most until the end of the faults. */
    private fun rest(ms: Long) {
        Thread.sleep(maxOf(0, minOf(ms, (endNs - System.nanoTime()) / 1_000_000)))
    }

    private fun disturbControls(random: Random) {
        var isFirst = true
        while (!isOver()) {
            val number = random.nextInt(CONTROL_VMS)
            val node = "control-$number"
            when (if (isFirst) 0 else random.nextInt(4)) {
                0 -> repeatEvacuation(number, soakZones.random(random), random)
                1 -> coreLock.withLock { site.pause(node, random.nextLong(1_000, 6_000)) }
                2 -> restartControl(number, random.nextLong(100, 2_000))
                else -> (0 until CONTROL_VMS).forEach {
                    if (!isOver()) restartControl(it, 100)
                    rest(3_000)
                }
            }
            count.incrementAndGet()
            isFirst = false
            rest(random.nextLong(1_500, 4_500))
        }
    }

    private fun restartControl(number: Int, downMs: Long) = coreLock.withLock {
        site.kill("control-$number")
        Thread.sleep(downMs)
        site.startControl(number)
    }

    /** Ends and starts an evacuation again while a control VM is stopped, which gets the first call of its end. */
    private fun repeatEvacuation(stopped: Int, zone: String, random: Random) {
        val others = (0 until CONTROL_VMS).filter { it != stopped }
        operator.evacuate(zone, isStart = true, first = others.random(random))
        rest(1_000)
        coreLock.withLock {
            site.stop("control-$stopped")
            val resumeNs = System.nanoTime() + random.nextLong(3_500, 5_500) * 1_000_000
            try {
                operator.evacuate(zone, isStart = false, first = stopped)
                Thread.sleep(random.nextLong(200, 800))
                operator.evacuate(zone, isStart = true, first = others.random(random))
                Thread.sleep(maxOf(0, (resumeNs - System.nanoTime()) / 1_000_000))
            } finally {
                site.resume("control-$stopped")
            }
        }
        rest(OBSERVED_EVACUATION_MS)
        operator.evacuate(zone, isStart = false)
    }

    private fun disturbEntries(random: Random) {
        var isFirst = true
        rest(2_000)
        while (!isOver()) {
            val number = random.nextInt(site.entryCount)
            when (if (isFirst) 0 else random.nextInt(5)) {
                0 -> killEntriesRepeatedly(random)
                1, 2 -> entryLocks[number].withLock { site.pause("entry-$number", random.nextLong(1_000, 6_000)) }
                else -> entryLocks[number].withLock {
                    site.kill("entry-$number")
                    site.startEntry(number)
                }
            }
            count.incrementAndGet()
            isFirst = false
            rest(random.nextLong(2_000, 6_000))
        }
    }

    /**
     * Kills all entry VMs, or all except one, at one moment, and again each time that they have served for a while.
     * What each process remembers of its repeats is lost several times within the window of the budget.
     */
    private fun killEntriesRepeatedly(random: Random) {
        val killed = (0 until site.entryCount).shuffled(random).drop(if (random.nextInt(3) == 0) 1 else 0)
        val locks = killed.sorted().map(entryLocks::get)
        locks.forEach { it.lock() }
        try {
            repeat(KILLS_OF_ENTRIES) {
                if (isOver()) return
                killed.map { thread { site.kill("entry-$it") } }.forEach { it.join() }
                killed.forEach(site::startEntry)
                awaitReady(killed)
                rest(SERVED_BETWEEN_KILLS_MS)
            }
        } finally {
            locks.forEach { it.unlock() }
        }
    }

    private fun awaitReady(entries: List<Int>) {
        val limitNs = System.nanoTime() + READY_LIMIT_NS
        while (System.nanoTime() < limitNs && !entries.all(site::isReady)) Thread.sleep(READY_POLL_MS)
    }

    /** Stops entry VMs one after another, at times before the former has ended, beside a fault of the engines. */
    private fun stopEntries(random: Random) {
        rest(FIRST_STOP_MS)
        while (!isOver()) {
            val companion = random.nextInt(4)
            val engines = site.targets.values.filter { it.service == ENGINE }.sortedBy { it.id }
            val fault = if (companion == 0) "WAIT" else "PREEMPT"
            if (companion <= 1) engines.forEach { site.setInjectedFault(it, fault, 0.4) }
            val stops = (0 until site.entryCount).shuffled(random).mapIndexed { index, number ->
                if (index % STOPS_PER_RELEASE == 0) replaceEngine(engines.random(random))
                val stop = thread(isDaemon = true) { stopEntry(number) }
                rest(random.nextLong(200, 4_000))
                stop
            }
            if (companion == 3) operator.configure(limitMs = 3_000)
            stops.forEach { it.join() }
            if (companion <= 1) engines.forEach { site.setInjectedFault(it, fault, 0.0) }
            count.incrementAndGet()
            rest(random.nextLong(2_000, 5_000))
        }
    }

    private fun stopEntry(number: Int) = entryLocks[number].withLock {
        if (isOver()) return
        site.terminate("entry-$number")
        site.startEntry(number)
    }

    private fun replaceEngine(engine: TargetNode) {
        site.startTarget(engine.service, engine.zone)
        thread(isDaemon = true) {
            rest(3_000)
            site.drain(engine)
        }
    }

    private fun disturbTargets(random: Random) {
        var step = 0
        // The first cut of entry VMs comes before, so that it is seen without other faults.
        rest(AFTER_FIRST_CUT_MS)
        while (!isOver()) {
            targetLock.withLock { disturbTarget(step, random) }
            count.incrementAndGet()
            step += 1
            rest(random.nextLong(500, 3_000))
        }
    }

    private fun disturbTarget(step: Int, random: Random) {
        val isDrain = step % DRAIN_PERIOD == DRAIN_STEP
        val candidates = site.targets.values.filter { !isDrain || it.service != PLAIN }
        val target = candidates.sortedBy { it.id }.random(random)
        val kind = when {
            step == 0 -> 0
            isDrain -> DRAIN_FAULT
            else -> random.nextInt(8)
        }
        when (kind) {
            0 -> inject(site.targets.values.filter { it.service == PLAIN }, "REFUSE", 0.9, 14_000)
            1 -> site.pause(target.id, random.nextLong(1_000, 6_000))
            2 -> {
                site.kill(target.id)
                Thread.sleep(random.nextLong(200, 2_000))
                site.startTarget(target.service, target.zone, target.address)
            }
            DRAIN_FAULT -> {
                site.startTarget(target.service, target.zone)
                rest(3_000)
                site.drain(target)
            }
            4 -> inject(listOf(target), listOf("LOSE", "DELAY", "RESET").random(random), 0.3, 3_000)
            6, 7 -> pauseRequests(target, random)
            else -> inject(site.targets.values.toList(), listOf("REFUSE", "FAIL").random(random), 0.5, 5_000)
        }
    }

    /** Lets [target] ask for pauses, half of the time while it is slow to accept connections. */
    private fun pauseRequests(target: TargetNode, random: Random) {
        val isSlow = random.nextBoolean()
        if (isSlow) site.setInjectedFault(target, "ACCEPT", 0.3)
        inject(listOf(target), "PAUSE", 0.2, 6_000)
        if (isSlow) site.setInjectedFault(target, "ACCEPT", 0.0)
    }

    /** Lets targets name limits of their requests, one or two at a time. */
    private fun limitTargets(random: Random) {
        while (!isOver()) {
            rest(random.nextLong(2_000, 4_000))
            val targets = site.targets.values.filter { it.service == PLAIN }.sortedBy { it.id }.shuffled(random)
                .take(random.nextInt(1, 3))
            targets.forEach { site.setInjectedFault(it, "LIMIT", random.nextInt(4, 16) / 2.0) }
            rest(random.nextLong(9_000, 14_000))
            targets.forEach { site.setInjectedFault(it, "LIMIT", 0.0) }
            count.incrementAndGet()
        }
    }

    /**
     * Cuts entry VMs from all targets, one, most or all but one of them. Every other cut, the first one among them,
     * holds the locks, so that there is no other fault of plain targets, control and entry VMs.
     */
    private fun cutEntries(random: Random) {
        var isCalm = true
        while (!isOver()) {
            val shuffled = (0 until site.entryCount).shuffled(random)
            val cutCount = when (random.nextInt(3)) {
                0 -> 1
                1 -> maxOf(1, (site.entryCount * MOST_ENTRIES_SHARE).toInt())
                else -> maxOf(1, site.entryCount - 1)
            }
            val kind = listOf(SoakCut.HANG, SoakCut.RESET, SoakCut.REFUSE).random(random)
            val durationMs = random.nextLong(MIN_CUT_MS, MAX_CUT_MS)
            val locks = if (isCalm) listOf(targetLock, coreLock) + entryLocks else emptyList()
            locks.forEach { it.lock() }
            try {
                if (isCalm) awaitReady((0 until site.entryCount).toList())
                val leftMs = (endNs - System.nanoTime()) / 1_000_000
                if (leftMs > 0) site.cutFromTargets(shuffled.take(cutCount), kind, minOf(durationMs, leftMs))
            } finally {
                locks.asReversed().forEach { it.unlock() }
            }
            count.incrementAndGet()
            isCalm = !isCalm
            rest(random.nextLong(2_000, 6_000))
        }
    }

    /** Lets engines leave while the answers to last moves are lost, late or failures. */
    private fun failMoves(random: Random) {
        while (!isOver()) {
            rest(random.nextLong(1_000, 3_000))
            val engines = site.targets.values.filter { it.service == ENGINE }.sortedBy { it.id }
            engines.forEach { site.setInjectedFault(it, "MOVE", FAILED_MOVES_PROBABILITY) }
            engines.shuffled(random).take(2).forEach(::replaceEngine)
            rest(FAILED_MOVES_MS)
            engines.forEach { site.setInjectedFault(it, "MOVE", 0.0) }
            count.incrementAndGet()
        }
    }

    private fun replaceEngines(random: Random) {
        var isMisplaced = false
        while (!isOver()) {
            val engines = site.targets.values.filter { it.service == ENGINE }.sortedBy { it.id }
            engines.forEach { site.setInjectedFault(it, "MISPLACE", if (isMisplaced) MISPLACED_PROBABILITY else 0.0) }
            engines.shuffled(random).take(maxOf(1, engines.size / LEAVING_ENGINES_ONE_IN)).forEach(::replaceEngine)
            count.incrementAndGet()
            isMisplaced = !isMisplaced
            rest(random.nextLong(MIN_LEAVES_MS, MAX_LEAVES_MS))
        }
    }

    private fun crashPlainTargets(random: Random) {
        rest(FIRST_CRASH_MS)
        site.sendCrashingInTurn(seed, listOf(SAFE, "unsafe"), SENDS_OF_CRASHING, random, ::isOver)
    }

    private fun crashEngines(random: Random) {
        rest(FIRST_CRASH_MS)
        site.sendCrashingInTurn(seed, listOf(STREAM), SENDS_OF_CRASHING, random, ::isOver)
    }

    private fun inject(targets: List<TargetNode>, name: String, probability: Double, durationMs: Long) {
        targets.forEach { site.setInjectedFault(it, name, probability) }
        rest(durationMs)
        targets.forEach { site.setInjectedFault(it, name, 0.0) }
    }

    private fun operate(random: Random) {
        while (!isOver()) {
            rest(random.nextLong(2_000, 5_000))
            operator.configure(limitMs = 6_000)
        }
    }
}
