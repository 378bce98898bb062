#include "Wire.h"

#include "Pack.h"

namespace cicada {

namespace {

    constexpr size_t lengthBytes = 4;
    constexpr size_t compactThresholdBytes = 64 << 10;

    uint32_t readLength(const char* bytes)
    {
        uint32_t length = 0;
        for (size_t i = 0; i < lengthBytes; ++i)
            length = length << 8 | static_cast<uint8_t>(bytes[i]);
        return length;
    }

    std::string writeLength(size_t length)
    {
        std::string bytes(lengthBytes, '\0');
        for (size_t i = 0; i < lengthBytes; ++i)
            bytes[i] = static_cast<char>(length >> (8 * (lengthBytes - 1 - i)));
        return bytes;
    }

} // namespace

std::string encodeFrame(const Frame& frame)
{
    const std::string body = Internal::packFields(frame.from, frame.service, frame.payload);
    return writeLength(body.size()) + body;
}

void FrameDecoder::append(absl::string_view bytes)
{
    if (m_offset > compactThresholdBytes) {
        m_buffer.erase(0, m_offset);
        m_offset = 0;
    }
    m_buffer.append(bytes.data(), bytes.size());
}

Result<std::optional<Frame>> FrameDecoder::next()
{
    const size_t available = m_buffer.size() - m_offset;
    if (available < lengthBytes)
        return std::optional<Frame>();
    const uint32_t length = readLength(m_buffer.data() + m_offset);
    if (length > maxFrameBytes)
        return Error { ErrorKind::MalformedMessage,
            absl::StrCat("A peer announced a frame of ", length, " bytes; the limit is ", maxFrameBytes, "."),
            "Check that only entries connect to the peers' port." };
    if (available < lengthBytes + length)
        return std::optional<Frame>();
    Frame frame;
    const absl::string_view body(m_buffer.data() + m_offset + lengthBytes, length);
    BOOST_OUTCOME_TRY(Internal::unpackFields(body, "peer", frame.from, frame.service, frame.payload));
    m_offset += lengthBytes + length;
    if (m_offset == m_buffer.size()) {
        m_buffer.clear();
        m_offset = 0;
    }
    return std::optional<Frame>(std::move(frame));
}

} // namespace cicada
