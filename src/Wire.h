#pragma once

/** \file
 * Frames between entries: a length of four bytes in big-endian order, then a msgpack array of the sender's name, the
 * name of the addressed service and the payload.
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

/** The maximum size of a frame. Peers exchange decisions and never request bodies, so frames are small. */
constexpr uint32_t maxFrameBytes = 8 << 20;

/** Encodes a frame, with its length in front. */
std::string encodeFrame(const Frame&);

/** Splits a byte stream into frames. Not thread-safe. */
class FrameDecoder {
public:
    void append(absl::string_view bytes);
    /** The next complete frame, nothing when more bytes are needed, or an error after which the link must be closed. */
    Result<std::optional<Frame>> next();

private:
    std::string m_buffer;
    size_t m_offset = 0;
};

} // namespace cicada
