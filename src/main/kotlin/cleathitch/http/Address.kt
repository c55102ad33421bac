package cleathitch.http

/** A server's host name or IP address, and its TCP port. */
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"

    companion object {
        private const val MAX_PORT = 65_535

        /** Parses `host:port`; null if [text] isn't of this form. */
        fun parse(text: String): Address? {
            val colon = text.lastIndexOf(':')
            val port = if (colon > 0) text.substring(colon + 1).toIntOrNull() else null
            return if (port != null && port in 0..MAX_PORT) Address(text.substring(0, colon), port) else null
        }
    }
}
