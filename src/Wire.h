#pragma once

/** \file
 * Frames between entries: four bytes of length, most significant first, then a msgpack array of the sender's name,
 * the service addressed and the payload.
 */

#include "Error.h"

#include "absl/strings/string_view.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cicada {

/** One message on a peer link. */
struct Frame {
    std::string from;
    std::string service;
    std::string payload;
};

/** The longest frame that is accepted, in bytes. Peers exchange decisions and never bodies. */
constexpr uint32_t maxFrameBytes = 8 << 20;

/** The frame with its length in front. */
std::string encodeFrame(const Frame&);

/** Collects bytes from a stream and cuts them into frames. Not thread-safe. */
class FrameDecoder {
public:
    void append(absl::string_view bytes);
    /** The next whole frame, nothing when more bytes are needed, or an error after which the link must close. */
    Result<std::optional<Frame>> next();

private:
    std::string m_buffer;
    size_t m_offset = 0;
};

} // namespace cicada
