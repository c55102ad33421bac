package cleathitch.storage

import cleathitch.protocol.MessageCodec
import cleathitch.scheduler.log.StoredValue
import com.fasterxml.jackson.databind.node.ObjectNode
import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import java.net.InetSocketAddress
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors

/** A key-value store on loopback that answers transactions as scripted, and requests for the head with what was applied. */
class ScriptedStore : AutoCloseable {
    /** How the store answers a transaction. */
    sealed interface Answer {
        data class Applied(val revision: Long) : Answer

        /** Not applied, with this status. */
        data class Status(val status: Int) : Answer

        /** Not applied, and the connection is closed without an answer. */
        data object Lost : Answer

        /** Applied, so that the head is [head], and the connection is closed without an answer. */
        data class AppliedAndLost(val head: StoredValue.Head, val revision: Long) : Answer
    }

    private val answers = ArrayDeque<Answer>()

    @Volatile
    private var applied: Answer.AppliedAndLost? = null
    private val threads = Executors.newCachedThreadPool { task -> Thread(task).also { it.isDaemon = true } }
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).also {
        it.executor = threads
        it.createContext("/", ::serve)
        it.start()
    }
    val port: Int get() = server.address.port

    /** The bodies of the transactions that were received since the last [script]. */
    val transactions = CopyOnWriteArrayList<ByteArray>()

    /** Answers the next transactions with [next], and forgets all earlier ones. */
    @Synchronized
    fun script(vararg next: Answer) {
        answers.clear()
        answers += next
        applied = null
        transactions.clear()
    }

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    private fun serve(exchange: HttpExchange) {
        val body = exchange.requestBody.readAllBytes()
        if (exchange.requestURI.path != "/txn") return respond(exchange, 200, page())
        transactions += body
        when (val answer = nextAnswer()) {
            is Answer.Applied -> respond(exchange, 200, MessageCodec.newMap().put("asiento", answer.revision))
            is Answer.Status -> respond(exchange, answer.status, MessageCodec.newMap().put("error", "scripted"))
            is Answer.AppliedAndLost -> {
                applied = answer
                exchange.close()
            }
            Answer.Lost -> exchange.close()
        }
    }

    /** After the end of the script the last answer is repeated. */
    @Synchronized
    private fun nextAnswer(): Answer = if (answers.size > 1) answers.removeFirst() else answers.first()

    private fun page(): ObjectNode {
        val page = MessageCodec.newMap().put("truncated", false).put("asiento", 50)
        val entries = page.putArray("entries")
        applied?.let {
            entries.addObject().put("k", "c/head").put("retoque", it.revision).set<ObjectNode>("data", LogCodec.encode(it.head, 1).single())
        }
        return page
    }

    private fun respond(exchange: HttpExchange, status: Int, body: ObjectNode) = exchange.use {
        val bytes = MessageCodec.encode(body)
        it.sendResponseHeaders(status, bytes.size.toLong())
        it.responseBody.write(bytes)
    }
}
