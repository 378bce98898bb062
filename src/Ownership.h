#pragma once

/** \file
 * Defines which entry may dispatch work to a back end. Each group of back ends is owned by at most one entry at a time,
 * and only that entry accounts for its slots and resources.
 */

#include "Clock.h"

#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cicada {

/** The right to dispatch work to a group. */
struct Term {
    /** Grows with each change of owner; back ends refuse starts under a lower one. */
    uint64_t epoch = 0;
    /** On this process's clock; no start may be sent after it. */
    Instant until = absl::ZeroDuration();
};

/** Ids of requests that must not run twice are spread over this many partitions; each is a group of its own. */
constexpr uint32_t claimPartitions = 64;
/** The group of one claim partition, "claims/0" to "claims/63". */
std::string claimGroup(uint32_t partition);

/** Tells which entry owns a group. Used on the decision thread only. */
class Ownership {
public:
    virtual ~Ownership() = default;
    /** This entry's current term for the group, or nothing when it does not own it. */
    virtual std::optional<Term> term(absl::string_view group) const = 0;
    /** The name of the entry that owns the group as far as known; empty when unknown. */
    virtual std::string owner(absl::string_view group) const = 0;

    /** Called when this entry gains or loses a group. On a gain, the observer recovers the state of the group under the
     * new epoch before it dispatches new work; on a loss, it discards that state. */
    using Observer = absl::AnyInvocable<void(absl::string_view group, uint64_t epoch, bool owned)>;
    virtual void onChange(Observer) = 0;
};

} // namespace cicada
