package cleathitch.protocol

import cleathitch.http.CallResult
import cleathitch.http.ServiceError
import cleathitch.http.ServiceResult

/** The answer's body as [decode] reads it, if the answer has one of [statuses]; otherwise the reason why there is no value. */
internal inline fun <T> CallResult.decodeAnswer(vararg statuses: Int, decode: (ByteArray) -> T): ServiceResult<T> = when (this) {
    is CallResult.Failed -> ServiceResult.Failure(ServiceError.NoAnswer(failure))
    is CallResult.Answered -> if (status in statuses) {
        decodeBody(body, decode)
    } else {
        ServiceResult.Failure(ServiceError.UnexpectedStatus(status))
    }
}

/** The value that [decode] reads from [body]; a body that it can't read is a failure. */
internal inline fun <T> decodeBody(body: ByteArray, decode: (ByteArray) -> T): ServiceResult<T> = try {
    ServiceResult.Success(decode(body))
} catch (e: MalformedMessageException) {
    ServiceResult.Failure(ServiceError.MalformedAnswer(e.message.orEmpty()))
}
