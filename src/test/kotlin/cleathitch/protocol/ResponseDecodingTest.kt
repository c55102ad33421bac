package cleathitch.protocol

import cleathitch.http.CallFailure
import cleathitch.http.CallResult
import cleathitch.http.ServiceError
import cleathitch.http.ServiceResult
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** Tests that the decoding of a response returns either its value or the reason for the failure. */
class ResponseDecodingTest {
    private val body = MessageCodec.encode(MessageCodec.newMap().put("arriendo", 7))

    private fun decode(result: CallResult) = result.decodeResponse(200, 409, decode = KeyValueStoreProtocol::lease)

    private fun failure(error: ServiceError) = ServiceResult.Failure(error)

    @Test
    fun `a response with any of the expected statuses is decoded`() {
        listOf(200, 409).forEach { assertEquals(ServiceResult.Success(7L), decode(CallResult.Answered(it, body))) }
    }

    @Test
    fun `each kind of failure is returned with its reason`() {
        val failed = decode(CallResult.Failed(CallFailure.CONNECT_FAILED))
        assertEquals(failure(ServiceError.NoResponse(CallFailure.CONNECT_FAILED)), failed)
        assertEquals(failure(ServiceError.UnexpectedStatus(503)), decode(CallResult.Answered(503, body)))
        val empty = decode(CallResult.Answered(200, ByteArray(0)))
        assertEquals(failure(ServiceError.MalformedResponse("the body is empty")), empty)
        assertNull(empty.valueOrNull())
    }
}
