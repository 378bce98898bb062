#pragma once

/** \file
 * What this entry must not forget when it dies, written to the store in groups: many records go into one value, one
 * write is under way at a time, and a least time passes between writes. So the rate of writes does not depend on that
 * of records, and an idle journal still writes at once.
 */

#include "ClaimsMessages.h"
#include "Clock.h"
#include "Store.h"

#include "absl/functional/any_invocable.h"

#include <deque>
#include <string>
#include <vector>

namespace cicada {

/** Below this key each incarnation of each entry has its segments. */
constexpr absl::string_view journalPrefix = "cicada/journal/";

/** This entry's journal of claims. Used on the decision thread only. */
class Journal {
public:
    /** `owner` names this entry and its incarnation and is never used again by another. Segments are kept for
     * `retention` at least, and are then written over. The store and the clock must outlive the journal. */
    Journal(Store&, const Clock&, absl::string_view owner, absl::Duration retention);

    /** Writes a record with the next group; false when too many wait. `stored` is called once the record is in the
     * store, however long that takes. */
    bool append(ClaimRecord record, absl::AnyInvocable<void()> stored);
    void tick(Instant now);
    /** Records that are not in the store yet. */
    size_t pendingRecords() const { return m_queue.size() + m_group.size(); }

    static constexpr absl::Duration minWriteInterval = absl::Milliseconds(50);
    static constexpr absl::Duration retryDelay = absl::Milliseconds(200);
    static constexpr size_t maxGroupRecords = 4000;
    static constexpr size_t maxPendingRecords = 20000;

private:
    struct PendingRecord {
        ClaimRecord record;
        absl::AnyInvocable<void()> stored;
    };
    /** One key that was written, and when. */
    struct Segment {
        std::string key;
        Instant writtenAt;
    };

    void beginGroup(Instant now);
    void chooseKey(Instant now);
    void write(uint64_t expectedIndex);
    /** Reads the key: finds the write done, or the index to write over. */
    void readBack();
    void retryLater();
    void groupStored();

    Store& m_store;
    const Clock& m_clock;
    const std::string m_prefix;
    const absl::Duration m_retention;
    std::deque<PendingRecord> m_queue;
    std::vector<PendingRecord> m_group;
    std::string m_value;
    std::string m_key;
    std::deque<Segment> m_segments;
    uint64_t m_nextSegment = 0;
    Instant m_nextWrite = absl::ZeroDuration();
    Instant m_retryAt = absl::InfiniteDuration();
    bool m_hasWritten = false;
};

} // namespace cicada
