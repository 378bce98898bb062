#pragma once

/** \file
 * Limits how many of an owner's slots long work may hold at once. The remaining slots are the reserve for short work,
 * which would otherwise wait for a long run to end. There are several policies for the size of the reserve, hence the
 * interface.
 */

#include "OfferedLoad.h"

#include <cstdint>

namespace cicada {

/** The reserve of one service at one owner. Used on the decision thread only. */
class SlotReserve {
public:
    virtual ~SlotReserve() = default;
    /** Records a short request whose run takes about `run`. */
    virtual void recordShortRequest(absl::Duration run, Instant now) = 0;
    /** Discards the recorded load, because the definition of short work has changed. */
    virtual void reset() = 0;
    /** The maximum number of the `slots` that runs known or suspected to be long may hold. */
    virtual uint32_t maxLongSlots(uint32_t slots, Instant now) const = 0;
};

/** Long work may take every slot. */
class NoReserve final : public SlotReserve {
public:
    void recordShortRequest(absl::Duration, Instant) override { }
    void reset() override { }
    uint32_t maxLongSlots(uint32_t slots, Instant) const override { return slots; }
};

/** Reserves as many slots as short work needs, with a margin for bursts. The estimate follows an increase immediately
 * and decays slowly, since a slot given to a long run is not free again for a long time. */
class AdaptiveReserve final : public SlotReserve {
public:
    void recordShortRequest(absl::Duration run, Instant now) override;
    void reset() override { *this = {}; }
    uint32_t maxLongSlots(uint32_t slots, Instant now) const override;

    static constexpr absl::Duration loadWindow = absl::Seconds(1);
    static constexpr absl::Duration decayTime = absl::Seconds(60);
    /** The margin in standard deviations of the number of busy slots, which is approximately Poisson distributed. */
    static constexpr double marginStdDevs = 2;
    /** The maximum share of the slots that may be reserved, so that long work never stops altogether. */
    static constexpr double maxReservedShare = 0.9;

private:
    OfferedLoad m_load { loadWindow };
    double m_peak = 0;
    Instant m_peakAt = absl::ZeroDuration();
    double neededSlots(Instant now) const;
};

} // namespace cicada
