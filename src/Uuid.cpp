#include "Uuid.h"

#include "absl/random/random.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_format.h"

namespace cicada {

namespace {

    constexpr size_t uuidLength = 36;
    constexpr uint64_t versionMask = 0xffffffffffff0fff;
    constexpr uint64_t versionBits = 0x4000;
    constexpr uint64_t variantMask = 0x3fffffffffffffff;
    constexpr uint64_t variantBits = 0x8000000000000000;
    constexpr uint64_t low48 = 0xffffffffffff;

} // namespace

bool isUuid(absl::string_view text)
{
    if (text.size() != uuidLength)
        return false;
    for (size_t i = 0; i < text.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? text[i] != '-' : !absl::ascii_isxdigit(text[i]))
            return false;
    }
    return true;
}

std::string randomUuid()
{
    thread_local absl::BitGen generator;
    const uint64_t high = (absl::Uniform<uint64_t>(generator) & versionMask) | versionBits;
    const uint64_t low = (absl::Uniform<uint64_t>(generator) & variantMask) | variantBits;
    return absl::StrFormat(
        "%08x-%04x-%04x-%04x-%012x", high >> 32, (high >> 16) & 0xffff, high & 0xffff, low >> 48, low & low48);
}

} // namespace cicada
