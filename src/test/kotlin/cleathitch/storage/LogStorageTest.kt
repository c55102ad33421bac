package cleathitch.storage

import cleathitch.http.Address
import cleathitch.metrics.ProcessingTimes
import cleathitch.scheduler.log.Commit
import cleathitch.scheduler.log.LogIndex
import cleathitch.scheduler.log.LogKeys
import cleathitch.scheduler.log.Mutation
import cleathitch.scheduler.log.StoreHealth
import cleathitch.scheduler.log.StoredValue
import cleathitch.scheduler.model.StoreLimits
import cleathitch.scheduler.model.Term
import cleathitch.storage.ScriptedStore.Answer
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test

/** What [LogStorage] does with a store that rejects, refuses or loses the attempts to write a commit. */
class LogStorageTest {
    private val vertx = Vertx.vertx()
    private val store = ScriptedStore()
    private val meterRegistry = SimpleMeterRegistry()
    private val head = StoredValue.Head(LogIndex(5), Term(3))

    @AfterEach
    fun stop() {
        store.close()
        vertx.close()
    }

    /** The leader repeated a commit that the store rejected for its size, and nothing was decided any more in the whole cluster. */
    @Test
    fun `a commit that is rejected for its content is sent once and reported as not applied`() {
        for (status in listOf(400, 413)) {
            store.script(Answer.Status(status))
            assertInstanceOf(CommitResult.Rejected::class.java, commit())
            assertEquals(1, store.transactions.size)
        }
    }

    @Test
    fun `a commit that was refused for an outage and is then rejected is reported as not applied`() {
        store.script(Answer.Status(503), Answer.Status(429), Answer.Status(400))
        assertInstanceOf(CommitResult.Rejected::class.java, commit())
    }

    /** The first attempt may still be applied; a commit planned in its place could then count beside it. */
    @Test
    fun `a commit whose first answer was lost and that is then rejected has no known fate`() {
        for (first in listOf(Answer.Lost, Answer.Status(500))) {
            store.script(first, Answer.Status(400))
            assertInstanceOf(CommitResult.Undecided::class.java, commit())
        }
    }

    @Test
    fun `a commit that was applied counts as committed although its first answer was lost and the next attempt is rejected`() {
        store.script(Answer.AppliedAndLost(head, revision = 42), Answer.Status(400))
        assertEquals(CommitResult.Committed(42), commit())
    }

    @Test
    fun `a commit of unknown fate is repeated with the same content until it is applied`() {
        store.script(Answer.Lost, Answer.Status(503), Answer.Status(500), Answer.Applied(revision = 42))
        assertEquals(CommitResult.Committed(42), commit())
        assertEquals(4, store.transactions.size)
        assertEquals(1, store.transactions.map { it.toList() }.distinct().size)
    }

    @Test
    fun `the attempts are counted by their outcome`() {
        store.script(Answer.Lost, Answer.Status(503), Answer.Status(400))
        commit()
        val counts = listOf("unknown", "unavailable", "rejected").map {
            meterRegistry.counter("log.commit.attempts", "outcome", it).count()
        }
        assertEquals(listOf(1.0, 1.0, 1.0), counts)
    }

    private fun commit(): CommitResult? = runBlocking {
        withContext(vertx.orCreateContext.dispatcher()) {
            val client = KeyValueStoreClient(vertx, Address("127.0.0.1", store.port), timeoutMs = 1000)
            val limits = StoreLimits(StoreLimits.MAX_TRANSACTION_BYTES, valueBytes = 16_384, operations = 32)
            val times = ProcessingTimes(meterRegistry)
            val storage = LogStorage(client, "c/", "leader/c", head.term, StoreHealth(limits), times, meterRegistry) {
                System.nanoTime() /
                    1_000_000
            }
            withTimeoutOrNull(MAX_WAIT_MS) { storage.commit(Commit(head.index, listOf(Mutation.Put(LogKeys.HEAD, head)))) }
        }
    }

    private companion object {
        /** Far longer than four attempts take. */
        const val MAX_WAIT_MS = 5000L
    }
}
