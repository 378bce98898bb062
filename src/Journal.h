#pragma once

/** \file
 * The records of this entry that must survive its failure, written to the store in groups: many records go into one
 * value, one write is in flight at a time, and a minimum interval separates writes. The rate of writes is therefore
 * independent of the rate of records, and an idle journal still writes immediately.
 */

#include "ClaimsMessages.h"
#include "Clock.h"
#include "Store.h"

#include "absl/functional/any_invocable.h"

#include <deque>
#include <string>
#include <vector>

namespace cicada {

/** The prefix of the keys under which each incarnation of each entry stores its segments. */
constexpr absl::string_view journalPrefix = "cicada/journal/";

/** This entry's journal of claims. Used on the decision thread only. */
class Journal {
public:
    /** `owner` identifies this entry and its incarnation and is never reused. Segments are kept for at least
     * `retention` and are then overwritten. The store and the clock must outlive the journal. */
    Journal(Store&, const Clock&, absl::string_view owner, absl::Duration retention);

    /** Writes a record with the next group; false when too many records are pending. `stored` is called once the record
     * is in the store, however long that takes. */
    bool append(ClaimRecord record, absl::AnyInvocable<void()> stored);
    void tick(Instant now);
    /** The number of records that are not in the store yet. */
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
    /** A key that was written, and when. */
    struct Segment {
        std::string key;
        Instant writtenAt;
    };

    void beginGroup(Instant now);
    void chooseKey(Instant now);
    void write(uint64_t expectedIndex);
    /** Reads the key to find out whether the write took effect; if not, writes again at the index that was read. */
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
