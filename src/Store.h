#pragma once

/** \file
 * The interface of the platform's key-value service: compare-and-swap, listing and one watch. Its callers must tolerate
 * long outages, and writes whose reply was lost after they took effect.
 */

#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/types/span.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicada {

/** One key with its value. `index` changes with every write to the key and never repeats. */
struct StoreEntry {
    std::string key;
    std::string value;
    uint64_t index = 0;
};

/** How a call ended. */
enum class StoreStatus {
    Ok,
    /** The compare-and-swap did not match; nothing was written. */
    Conflict,
    /** The key does not exist. */
    Missing,
    /** No reply. A write may or may not have taken effect. */
    Unavailable,
};

/** The reply to one call. */
struct StoreReply {
    StoreStatus status = StoreStatus::Unavailable;
    std::vector<StoreEntry> entries;
};

/** Counts of calls made; they show the control overhead. A blocking watch counts as one call each time it is made. */
struct StoreCallCounts {
    uint64_t reads = 0;
    uint64_t writes = 0;
    uint64_t watches = 0;
    uint64_t failures = 0;
};

/** The store client. Calls return at once; callbacks run on the decision thread. Call it on the decision thread only.
 */
class Store {
public:
    using Callback = absl::AnyInvocable<void(StoreReply)>;

    virtual ~Store() = default;
    virtual void get(absl::string_view key, Callback) = 0;
    virtual void list(absl::string_view prefix, Callback) = 0;
    /** Writes `value` if the key's index is `expectedIndex`; 0 means that the key must not exist. */
    virtual void put(absl::string_view key, std::string value, uint64_t expectedIndex, Callback) = 0;
    /** Removes the key if its index is `expectedIndex`. */
    virtual void remove(absl::string_view key, uint64_t expectedIndex, Callback) = 0;
    /** Calls back with all entries below `prefix` now and after every change, while the store is reachable. */
    virtual void watch(absl::string_view prefix, absl::AnyInvocable<void(absl::Span<const StoreEntry>)>) = 0;
    virtual StoreCallCounts counts() const = 0;
};

} // namespace cicada
