package cleathitch.formats

import org.junit.jupiter.api.Assertions.assertEquals

/**
 * Files of bytes that an earlier version wrote, as hexadecimal text under `src/test/resources/formats`.
 *
 * Running clusters hold such bytes in the key-value store and send them between controllers of two versions, so the files never change:
 * a test that disagrees with one of them has found an incompatible change of the code.
 */
internal object PinnedBytes {
    /** The bytes of the file [name]. */
    fun read(name: String): ByteArray {
        val resource = checkNotNull(javaClass.getResourceAsStream("/formats/$name.hex")) { "there is no pinned file $name.hex" }
        val hex = resource.use { it.readBytes().decodeToString() }.filterNot { it.isWhitespace() }
        return hex.chunked(2).map { it.toInt(16).toByte() }.toByteArray()
    }

    /** Fails unless [encoded] equals the bytes of the file [name]. */
    fun assertUnchanged(name: String, encoded: ByteArray) = assertEquals(hex(read(name)), hex(encoded)) { "the form of $name has changed" }

    private fun hex(bytes: ByteArray) = bytes.joinToString("") { "%02x".format(it) }
}
