package cleathitch.http

/**
 * How many connections a server may hold, so that a node keeps sockets for what it opens itself: at the limit
 * of its sockets it once had no way left to the state service.
 *
 * Past [kept] each answer ends its connection, so those who come again make room for each other; past [most]
 * a new one is closed at once, and whoever it was tries another node.
 */
class ConnectionLimit(val most: Int) {
    private val kept = most - most / SPARE_PART
    var open = 0
        private set

    val crowded get() = open > kept

    /** False if there is no room for one more. */
    fun opened(): Boolean {
        open++
        return open <= most
    }

    fun closed() {
        open--
    }

    private companion object {
        /** One in so many is left for those who come while all kept ones are in use. */
        const val SPARE_PART = 20
    }
}
