/*
 * The results of orders as JSON: one object for each run, with the type of the result in the field `result`.
 */
package fulmarshunt.operator.cli

import fulmarshunt.operator.NothingToDo
import fulmarshunt.operator.OperatorReply
import fulmarshunt.operator.OrderAccepted
import fulmarshunt.operator.OrderAnswered
import fulmarshunt.operator.OrderConflict
import fulmarshunt.operator.OrderRefused
import fulmarshunt.operator.OrderResult
import fulmarshunt.operator.OrderUnanswered
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

private val json =
    Json {
        encodeDefaults = true
        classDiscriminator = "result"
    }

/** Returns this result as one line of JSON. */
internal fun OrderResult.toJson(): String = when (this) {
    is OrderAnswered -> json.encodeToString(OperatorReply.serializer(), reply)
    is OrderAccepted -> resultObject("accepted") {
        put("command_id", JsonPrimitive(commandId.value))
        put("revision", JsonPrimitive(revision.value))
        put("in_effect", JsonPrimitive(isInEffect))
    }
    is NothingToDo -> resultObject("nothing-to-do") { put("revision", JsonPrimitive(revision.value)) }
    is OrderConflict -> resultObject("conflict") {
        put("expected_revision", JsonPrimitive(expected.value))
        put("current_revision", JsonPrimitive(current.value))
        put("differences", json.encodeToJsonElement(stringList, differences))
    }
    is OrderRefused -> resultObject("refused") { put("reason", JsonPrimitive(reason)) }
    is OrderUnanswered -> resultObject("unanswered") {
        put("reason", JsonPrimitive(reason))
        resendable?.let {
            put("command_id", JsonPrimitive(it.id.value))
            put("expected_revision", JsonPrimitive(it.expectedRevision.value))
        }
    }
}

private val stringList = kotlinx.serialization.serializer<List<String>>()

private fun resultObject(result: String, build: kotlinx.serialization.json.JsonObjectBuilder.() -> Unit): String {
    val value: JsonObject =
        buildJsonObject {
            put("result", result)
            build()
        }
    return value.toString()
}
