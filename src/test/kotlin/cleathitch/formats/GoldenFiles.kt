package cleathitch.formats

import org.junit.jupiter.api.Assertions.assertEquals

/**
 * Golden files: bytes written by an earlier version, as hexadecimal text under `src/test/resources/formats`.
 *
 * Running clusters have such bytes in the key-value store, and controllers of two versions send them to each other. The files
 * must therefore never change: a test that fails on one of them has found an incompatible change of the code.
 */
internal object GoldenFiles {
    /** The bytes of the file [name]. */
    fun read(name: String): ByteArray {
        val resource = checkNotNull(javaClass.getResourceAsStream("/formats/$name.hex")) { "golden file not found: /formats/$name.hex" }
        val hex = resource.use { it.readBytes().decodeToString() }.filterNot { it.isWhitespace() }
        return hex.chunked(2).map { it.toInt(16).toByte() }.toByteArray()
    }

    /** Fails unless [encoded] equals the bytes of the file [name]. */
    fun assertMatches(name: String, encoded: ByteArray) =
        assertEquals(hex(read(name)), hex(encoded)) { "the encoding differs from the golden file $name.hex" }

    private fun hex(bytes: ByteArray) = bytes.joinToString("") { "%02x".format(it) }
}
