package cleathitch.http

/** Where a server listens. */
data class Address(val host: String, val port: Int) {
    override fun toString() = "$host:$port"

    companion object {
        /** Null if [text] isn't of the form `host:port`. */
        fun parse(text: String): Address? {
            val colon = text.lastIndexOf(':')
            val port = if (colon > 0) text.substring(colon + 1).toIntOrNull() else null
            return if (port != null && port in 0..65535) Address(text.substring(0, colon), port) else null
        }
    }
}
