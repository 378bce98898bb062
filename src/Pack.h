#pragma once

/** \file
 * Internal: msgpack encoding of plain structs. The library's headers compile slowly, so this header is included
 * by sources only. A struct becomes packable by naming its fields in MSGPACK_DEFINE_ARRAY-style adaptors or by
 * being packed field by field as a tuple.
 */

#include "Error.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

#include <msgpack.hpp>

#include <tuple>

namespace cicada::Internal {

/** The maximum nesting depth of a message. */
constexpr size_t maxPackNesting = 16;

/** Encodes the fields, in order, as one msgpack array. */
template <typename... Fields> std::string packFields(const Fields&... fields)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, std::forward_as_tuple(fields...));
    return std::string(buffer.data(), buffer.size());
}

/** Decodes one msgpack array into the fields. On an error the fields are unspecified; `what` names the message in it.
 */
template <typename... Fields>
Result<void> unpackFields(absl::string_view bytes, absl::string_view what, Fields&... fields)
{
    const Error error { ErrorKind::MalformedMessage, absl::StrCat("A ", what, " message can't be decoded."),
        "Check that all entries run the same version." };
    try {
        // The decoder allocates at once what a header announces. No message has more elements than bytes, so the size
        // of the message bounds the allocation.
        const msgpack::unpack_limit limit(
            bytes.size(), bytes.size(), bytes.size(), bytes.size(), bytes.size(), maxPackNesting);
        const auto handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        const auto& object = handle.get();
        if (object.type != msgpack::type::ARRAY || object.via.array.size != sizeof...(Fields))
            return error;
        std::tuple<Fields&...> target(fields...);
        object.convert(target);
        return success();
    } catch (const std::exception&) {
        return error;
    }
}

} // namespace cicada::Internal
