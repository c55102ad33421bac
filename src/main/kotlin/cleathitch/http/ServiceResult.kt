package cleathitch.http

/** The value that a call to another service returned, or the reason why it returned none. */
sealed interface ServiceResult<out T> {
    /** The decoded response. */
    data class Success<T>(val value: T) : ServiceResult<T>

    /** There is no value; [error] is the reason. */
    data class Failure(val error: ServiceError) : ServiceResult<Nothing>

    /** Returns the value, or null after a failure. Intended for callers that handle all failures alike. */
    fun valueOrNull(): T? = when (this) {
        is Success -> value
        is Failure -> null
    }
}
