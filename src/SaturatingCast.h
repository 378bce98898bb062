#pragma once

/** \file
 * Converts real numbers to integers with one result on all processors. The language leaves the result open where the
 * integer can't hold the number, and processors differ there.
 */

#include <cmath>
#include <limits>
#include <type_traits>

namespace cicada {

/** The number without its fraction; the nearest integer of the type where it is out of range, and 0 for NaN. */
template <typename Integer> Integer saturatingCast(double number)
{
    static_assert(std::is_integral_v<Integer>);
    using Limits = std::numeric_limits<Integer>;
    if (std::isnan(number))
        return 0;
    // A power of two, which a double holds exactly, unlike the largest integer of 64 bits.
    if (number >= std::ldexp(1.0, Limits::digits))
        return Limits::max();
    if (number <= static_cast<double>(Limits::min()))
        return Limits::min();
    return static_cast<Integer>(number);
}

} // namespace cicada
