package cleathitch.controller

import cleathitch.cloud.CloudClient
import cleathitch.scheduler.model.MachineType
import kotlinx.coroutines.delay

/** Queries the cloud provider for its machine types when the process starts, so that they are available when the first term begins. */
internal class MachineTypeDiscovery(private val cloud: CloudClient, private val retryMs: Long) {
    /** The cloud provider's machine types; empty until it has answered. */
    var machineTypes: List<MachineType> = emptyList()
        private set

    /** Repeats the query every [retryMs] until the cloud provider returns at least one type. */
    suspend fun run() {
        while (machineTypes.isEmpty()) {
            machineTypes = cloud.machineTypes().valueOrNull().orEmpty()
            if (machineTypes.isEmpty()) delay(retryMs)
        }
    }
}
