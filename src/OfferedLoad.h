#pragma once

/** \file
 * The number of slots that a stream of requests needs: its arrival rate times its run time, averaged over a recent
 * window.
 */

#include "Clock.h"

namespace cicada {

/** Run time offered per second as an exponentially decaying average, which is also the mean number of busy slots. */
class OfferedLoad {
public:
    explicit OfferedLoad(absl::Duration window)
        : m_window(window)
    {
    }

    /** A request whose run takes about `run` arrived. */
    void add(absl::Duration run, Instant now);
    double slots(Instant now) const;

private:
    absl::Duration m_window;
    double m_slots = 0;
    Instant m_updatedAt = absl::ZeroDuration();
};

} // namespace cicada
