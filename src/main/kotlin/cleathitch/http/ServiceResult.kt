package cleathitch.http

/** What a call to another program yielded, or why it yielded nothing. */
sealed interface ServiceResult<out T> {
    /** The decoded answer. */
    data class Success<T>(val value: T) : ServiceResult<T>

    /** There is no value, for the reason [error]. */
    data class Failure(val error: ServiceError) : ServiceResult<Nothing>

    /** The value, for callers that handle every failure alike. */
    fun valueOrNull(): T? = when (this) {
        is Success -> value
        is Failure -> null
    }
}
