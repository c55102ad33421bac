package cleathitch.storage

/** What was read from the state service, or why it wasn't. */
sealed interface StoreRead<out T> {
    data class Value<T>(val value: T) : StoreRead<T>
    data class Failed(val failure: StoreFailure) : StoreRead<Nothing>
}
