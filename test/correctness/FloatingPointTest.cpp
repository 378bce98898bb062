/** \file
 * Decisions that entries on unlike machines must make alike hang on sums of products, so these have one result
 * everywhere.
 */

#include "CppUTest/TestHarness.h"

#include <cmath>

TEST_GROUP(FloatingPoint) {};

TEST(FloatingPoint, aProductIsRoundedBeforeItIsAdded)
{
    // The exact product is 1 + 2^-29 + 2^-60, of which a double holds all but the last term. The compiler does not know
    // the operands, so it can't compute the sum itself.
    const volatile double factor = 1 + std::ldexp(1, -30);
    const volatile double rounded = 1 + std::ldexp(1, -29);
    CHECK(factor * factor - rounded == 0);
}
