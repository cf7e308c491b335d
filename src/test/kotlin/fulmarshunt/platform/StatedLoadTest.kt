/*
 * The values of `Fulmarshunt-Server-Load` that targets may send.
 */
package fulmarshunt.platform

import arrow.core.right
import fulmarshunt.target.fleet.StatedLoad
import fulmarshunt.target.fleet.statedLoad
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isTrue

class StatedLoadTest {
    /** Guards against the figures of older and newer targets that are mixed up or not read. */
    @Test
    fun `three and four figures are read, and later ones ignored`() {
        expectThat(parseLoad("3,0,8")).isEqualTo(statedLoad(3, 0, 8, null))
        expectThat(parseLoad(" 24 , 7,24,310 ")).isEqualTo(statedLoad(24, 7, 24, 310))
        expectThat(parseLoad("1,2,6,100,x")).isEqualTo(statedLoad(1, 2, 6, 100))
    }

    /** Guards against figures that cannot be right and make a target look idle, full or fast. */
    @Test
    fun `other values are no load`() {
        val values = listOf(
            "", ",", "3,0", "3;0;8", "-1,0,8", "3,-1,8", "3,0,0", "3,0,-8", "3,0,8,", "3,0,8,0", "3,0,8,-100",
            "3,0,8,x", "3.5,0,8", "99999999999999999999,0,8", "3,0,8,1000001", "1000001,0,8", "NaN,0,8",
            "0".repeat(100_000),
        )
        values.forEach { expectThat(parseLoad(it).isLeft()).describedAs(it.take(30)).isTrue() }
    }

    /** Guards against an exception for some value, which would end the request. */
    @Property(tries = 500)
    fun `every value is a bounded load or none`(@ForAll value: String, @ForAll a: Long, @ForAll b: Int) {
        for (text in listOf(value, "$a,$b,$value", "$a,$b,$a,$b")) {
            parseLoad(text).onRight { load: StatedLoad ->
                listOf(load.running, load.waiting, load.slots, load.workPercent ?: 0)
                    .forEach { expectThat(it).isIn(0..1_000_000) }
                expectThat(parseLoad(text)).isEqualTo(load.right())
            }
        }
    }
}
