#pragma once

/** \file
 * How many of an owner's slots long work may hold at once. What is left over is the reserve for short work, which
 * would otherwise wait for a long run to end. The size of the reserve varies, so it is behind an interface.
 */

#include "OfferedLoad.h"

#include <cstdint>

namespace cicada {

/** The reserve of one service at one owner. Used on the decision thread only. */
class SlotReserve {
public:
    virtual ~SlotReserve() = default;
    /** A short request arrived whose run takes about `run`. */
    virtual void recordShortRequest(absl::Duration run, Instant now) = 0;
    /** Forgets what was noted, because what counts as short has changed. */
    virtual void reset() = 0;
    /** The most of `slots` that runs known or suspected to be long may hold. */
    virtual uint32_t maxLongSlots(uint32_t slots, Instant now) const = 0;
};

/** Long work may take every slot. */
class NoReserve final : public SlotReserve {
public:
    void recordShortRequest(absl::Duration, Instant) override { }
    void reset() override { }
    uint32_t maxLongSlots(uint32_t slots, Instant) const override { return slots; }
};

/** Keeps as many slots as short work needs, with a margin for its bursts. The need follows a rise at once and
 * forgets it slowly, since a slot given to a long run comes back late. */
class AdaptiveReserve final : public SlotReserve {
public:
    void recordShortRequest(absl::Duration run, Instant now) override;
    void reset() override { *this = {}; }
    uint32_t maxLongSlots(uint32_t slots, Instant now) const override;

    static constexpr absl::Duration loadWindow = absl::Seconds(1);
    static constexpr absl::Duration decayTime = absl::Seconds(60);
    /** The margin in standard deviations of the number of busy slots, which is about Poisson distributed. */
    static constexpr double marginStdDevs = 2;
    /** The largest part of the slots that may be reserved, so that long work never stops altogether. */
    static constexpr double maxReservedShare = 0.9;

private:
    OfferedLoad m_load { loadWindow };
    double m_peak = 0;
    Instant m_peakAt = absl::ZeroDuration();
    double neededSlots(Instant now) const;
};

} // namespace cicada
