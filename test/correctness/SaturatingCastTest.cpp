/** \file
 * Real numbers beyond an integer's range become its nearest value.
 */

#include "SaturatingCast.h"

#include "CppUTest/TestHarness.h"

#include <cstdint>

using namespace cicada;

namespace {

constexpr double infinity = std::numeric_limits<double>::infinity();

template <typename Integer> void checkLimits()
{
    using Limits = std::numeric_limits<Integer>;
    for (const double beyond : { std::ldexp(1.0, Limits::digits), 1e300, infinity })
        CHECK(saturatingCast<Integer>(beyond) == Limits::max());
    for (const double below : { -1e300, -infinity })
        CHECK(saturatingCast<Integer>(below) == Limits::min());
    CHECK(saturatingCast<Integer>(std::nan("")) == 0);
    CHECK(saturatingCast<Integer>(-std::nan("")) == 0);
}

} // namespace

TEST_GROUP(SaturatingCast) {};

TEST(SaturatingCast, whatIsOutOfRangeBecomesTheNearestInteger)
{
    checkLimits<int64_t>();
    checkLimits<uint64_t>();
    checkLimits<int32_t>();
    checkLimits<uint32_t>();
    CHECK(saturatingCast<uint32_t>(-0.5) == 0);
}

TEST(SaturatingCast, whatIsInRangeLosesItsFractionOnly)
{
    CHECK(saturatingCast<int64_t>(-2.9) == -2);
    CHECK(saturatingCast<uint32_t>(4294967295.5) == 4294967295);
    CHECK(saturatingCast<int64_t>(9223372036854774784.0) == 9223372036854774784);
    CHECK(saturatingCast<int64_t>(-9223372036854775808.0) == std::numeric_limits<int64_t>::min());
}
