package cleathitch.storage

/** What was read from the key-value store, or why nothing was. */
sealed interface StoreRead<out T> {
    data class Value<T>(val value: T) : StoreRead<T>
    data class Failed(val failure: StoreFailure) : StoreRead<Nothing>
}
