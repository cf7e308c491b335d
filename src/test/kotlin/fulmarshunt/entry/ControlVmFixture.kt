/*
 * A control VM with its links, for tests of watching.
 */
package fulmarshunt.entry

import fulmarshunt.Address
import fulmarshunt.VmId
import fulmarshunt.entry.document.documentServiceOf
import fulmarshunt.entry.watch.WatchService
import fulmarshunt.entry.watch.WatchServiceDependencies
import fulmarshunt.link.LinkHandlers
import fulmarshunt.link.linksOf
import fulmarshunt.monotonicClock
import fulmarshunt.operator.serving.ServingSnapshot
import fulmarshunt.process.startControlThread
import fulmarshunt.target.fleet.TargetDirectory
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.runBlocking

/** A control VM that listens at [own]; it is in contact with a leader while [isCurrent]. */
internal class ControlVm(
    name: String,
    own: Address,
    all: List<Address>,
    val snapshots: MutableStateFlow<ServingSnapshot> = MutableStateFlow(ServingSnapshot()),
    isCurrent: () -> Boolean,
) : AutoCloseable {
    private val control = startControlThread()
    private val directory = TargetDirectory(1_000)
    private val documents = documentServiceOf(snapshots, control)
    val service = WatchService(
        WatchServiceDependencies(
            VmId(name),
            snapshots,
            { all },
            own,
            isCurrent,
            directory,
        ),
        control,
        monotonicClock(),
    )
    val links = linksOf(name, "secret-of-the-test", documents.handlers(service.handlers(LinkHandlers())))

    init {
        runBlocking { links.listen(own).onLeft { error(it) } }
        service.start(links)
    }

    suspend fun records() = control.run { directory.changedAfter(0) }.map { it.record }

    override fun close() {
        runBlocking { links.close() }
        control.close()
    }
}
