package cleathitch.workers

import cleathitch.core.Effect
import cleathitch.core.Report
import cleathitch.http.Address
import cleathitch.http.Caller
import cleathitch.protocol.Malformed
import cleathitch.protocol.WorkerWire
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import org.slf4j.LoggerFactory

/** Sends orders directly where waiting for the next report would cost. */
class WorkerClient(vertx: Vertx, private val timeoutMs: Long) {
    private val caller = Caller(vertx, connections = 2)

    /** The machine's report after the orders, whether it carried them out or not; null if none came. */
    suspend fun push(push: Effect.Push): Report? {
        val address = Address.parse(push.addr) ?: return null
        val body = WorkerWire.direct(push.version, push.session, push.orders)
        val answer = caller.call(address, HttpMethod.POST, "/do", body, timeoutMs) ?: return null
        if (answer.status != 200 && answer.status != 409) return null
        return try {
            WorkerWire.report(answer.body)
        } catch (e: Malformed) {
            log.error("a garbled report from machine {}: {}", push.machine, e.message)
            null
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger("cleathitch.workers")
    }
}
