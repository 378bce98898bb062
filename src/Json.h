#pragma once

/** \file
 * Internal: JSON parsing and schema checks. The JSON library's headers compile slowly, so this header is included by
 * sources only.
 */

#include "Error.h"

#include "absl/strings/string_view.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace cicada::Internal {

using Json = nlohmann::json;

/** Documents are read and written recursively, so the nesting is bounded to protect the stack of the thread. */
constexpr size_t maxJsonNesting = 64;

/** Parses `text`; `what` names the document in the error. Nesting deeper than maxJsonNesting and numbers that a double
 * can't hold are errors. */
Result<Json> parseJson(absl::string_view text, absl::string_view what, ErrorKind kind);
/** Checks `document` against a JSON schema. The error names the first field that does not fit. */
Result<void> checkSchema(const Json& document, absl::string_view schema, absl::string_view what, ErrorKind kind);

/** The value as an integer, without its fraction; nothing when it is not a number or out of the type's range. */
template <typename Integer> std::optional<Integer> toInteger(const Json& value)
{
    static_assert(std::is_integral_v<Integer>);
    const auto inRange = [](auto number) {
        return std::in_range<Integer>(number) ? std::optional<Integer>(static_cast<Integer>(number)) : std::nullopt;
    };
    if (value.is_number_unsigned())
        return inRange(value.get<uint64_t>());
    if (value.is_number_integer())
        return inRange(value.get<int64_t>());
    if (!value.is_number_float())
        return std::nullopt;
    const double number = value.get<double>();
    // A power of two, which a double holds exactly, unlike the largest integer of 64 bits.
    const double limit = std::ldexp(1.0, std::numeric_limits<Integer>::digits);
    if (number >= limit || number < (std::is_signed_v<Integer> ? -limit : 0.0))
        return std::nullopt;
    return static_cast<Integer>(number);
}

/** As toInteger(); throws Json::out_of_range where that returns nothing. The library's own conversion of a number that
 * the type can't hold gives unlike results on unlike processors. */
template <typename Integer> Integer integerOf(const Json& value)
{
    const auto integer = toInteger<Integer>(value);
    if (!integer)
        throw Json::out_of_range::create(406, "number is not an integer of the expected size", &value);
    return *integer;
}

/** The integer in the field, or `missing` if there is no such field; throws as integerOf(). */
template <typename Integer> Integer integerOr(const Json& object, const char* field, Integer missing)
{
    const auto found = object.find(field);
    return found == object.end() ? missing : integerOf<Integer>(*found);
}

} // namespace cicada::Internal
