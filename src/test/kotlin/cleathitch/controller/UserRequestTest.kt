package cleathitch.controller

import cleathitch.protocol.MessageCodec
import cleathitch.scheduler.model.JobId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class UserRequestTest {
    private val job = JobId("j-000412")

    private fun parse(method: String, path: String) = UserRequest.parse(method, path, MessageCodec.encode(MessageCodec.newMap()))

    @Test
    fun `requests for the leader are parsed from method and path`() {
        assertEquals(UserRequest.Poll(job), parse("GET", "/submissions/j-000412"))
        assertEquals(UserRequest.Cancel(job), parse("POST", "/submissions/j-000412/abort"))
        assertEquals(UserRequest.UnknownJob, parse("GET", "/submissions/412"))
        assertEquals(UserRequest.UnknownJob, parse("DELETE", "/submissions/"))
    }

    @Test
    fun `the parse result of a malformed submission contains the reason`() {
        val request = parse("POST", "/submissions")
        assertTrue(request is UserRequest.Malformed && "nameId" in request.reason) { "$request" }
    }

    @Test
    fun `an unsupported method on a valid path is distinguished from an unknown path`() {
        for (path in listOf("/submissions", "/submissions/j-000412", "/submissions/j-000412/", "/submissions/j-000412/abort")) {
            assertEquals(UserRequest.MethodNotAllowed, parse("PUT", path), path)
        }
        assertEquals(UserRequest.UnknownPath, parse("POST", "/submissions/j-000412/pause"))
        assertEquals(UserRequest.UnknownPath, parse("POST", "/submissions/j-000412/abort/now"))
    }

    @Test
    fun `only paths of submissions are user paths`() {
        assertTrue(UserRequest.isUserPath("/submissions") && UserRequest.isUserPath("/submissions/j-000412"))
        assertFalse(UserRequest.isUserPath("/submissionsx") || UserRequest.isUserPath("/ready"))
    }
}
