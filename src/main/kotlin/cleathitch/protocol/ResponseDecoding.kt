package cleathitch.protocol

import cleathitch.http.CallResult
import cleathitch.http.ServiceError
import cleathitch.http.ServiceResult

/** Decodes the response's body with [decode] if its status is one of [statuses]; otherwise returns the reason for the failure. */
internal inline fun <T> CallResult.decodeResponse(vararg statuses: Int, decode: (ByteArray) -> T): ServiceResult<T> = when (this) {
    is CallResult.Failed -> ServiceResult.Failure(ServiceError.NoResponse(failure))
    is CallResult.Answered -> if (status in statuses) {
        decodeBody(body, decode)
    } else {
        ServiceResult.Failure(ServiceError.UnexpectedStatus(status))
    }
}

/** Decodes [body] with [decode]; a [MalformedMessageException] becomes a [ServiceError.MalformedResponse]. */
internal inline fun <T> decodeBody(body: ByteArray, decode: (ByteArray) -> T): ServiceResult<T> = try {
    ServiceResult.Success(decode(body))
} catch (e: MalformedMessageException) {
    ServiceResult.Failure(ServiceError.MalformedResponse(e.message.orEmpty()))
}
