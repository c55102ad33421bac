package cleathitch.leader

import cleathitch.cloud.CloudClient
import cleathitch.scheduler.api.Input
import cleathitch.scheduler.model.Deployment
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Asks the cloud for its machine types and its list of machines, periodically, and hands them on as inputs. */
internal class CloudPolling(private val cloud: CloudClient, private val deployment: Deployment, private val enqueue: (Input) -> Unit) {
    /** Starts polling in [scope], which ends it. */
    fun launchIn(scope: CoroutineScope) {
        scope.launch { pollMachineTypes() }
        scope.launch { pollMachines() }
    }

    private suspend fun pollMachineTypes() {
        val periodMs = deployment.workerLeaseMs
        while (true) {
            cloud.machineTypes().valueOrNull()?.let { enqueue(Input.MachineTypesListed(it)) }
            delay(periodMs)
        }
    }

    /** Asked more often than the cloud's list changes, it would return the same list again. */
    private suspend fun pollMachines() {
        val periodMs = maxOf(deployment.listLagMs, deployment.heartbeatPeriodMs)
        while (true) {
            cloud.machines().valueOrNull()?.let { enqueue(Input.MachinesListed(it)) }
            delay(periodMs)
        }
    }
}
