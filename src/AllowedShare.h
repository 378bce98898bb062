#pragma once

/** \file
 * An estimate of the share of workers on which a queue's policy allows a step to run.
 */

#include <algorithm>
#include <cstddef>

namespace cicada {

/** Counts workers that were asked about for the first time; those that a step asks about again were allowed before and
 * tell nothing of the others. Not thread-safe. */
class AllowedShare {
public:
    /** Adds a reply: of `asked` workers, `allowed` are allowed. */
    void add(size_t asked, size_t allowed)
    {
        m_asked += static_cast<double>(asked);
        m_allowed += static_cast<double>(std::min(allowed, asked));
        if (m_asked < maxAsked)
            return;
        m_asked /= 2;
        m_allowed /= 2;
    }
    /** More than 0 and at most 1. */
    double estimate() const { return std::max(minShare, m_allowed / m_asked); }

private:
    /** Older replies count less once this many workers were asked about. */
    static constexpr double maxAsked = 4000;
    static constexpr double minShare = 0.05;
    /** The share is taken to be a half, with the weight of this many workers, before the first reply. */
    static constexpr double initialAsked = 20;

    double m_asked = initialAsked;
    double m_allowed = initialAsked / 2;
};

} // namespace cicada
