#include "RequestNumbers.h"

#include <random>

namespace cicada {

namespace {

    /** Leaves room above the first number, so that numbers never wrap around. */
    constexpr uint64_t maxFirstNumber = uint64_t { 1 } << 62;

    uint64_t randomFirstNumber()
    {
        std::random_device device;
        return std::uniform_int_distribution<uint64_t>(0, maxFirstNumber)(device);
    }

} // namespace

RequestNumbers::RequestNumbers()
    : m_last(randomFirstNumber())
{
}

} // namespace cicada
