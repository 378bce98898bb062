#pragma once

/** \file
 * Reads and writes job records in the store. Every write is a compare-and-swap whose outcome is determined by reading
 * back, so that a lost reply neither loses nor duplicates a job.
 */

#include "Clock.h"
#include "Job.h"
#include "Store.h"

#include "absl/functional/any_invocable.h"

#include <list>
#include <string>
#include <vector>

namespace cicada {

/** Writes and reads jobs. Used on the decision thread only. */
class JobRecords {
public:
    using CreateCallback = absl::AnyInvocable<void(Result<JobRecord>)>;
    using UpdateCallback = absl::AnyInvocable<void(Result<JobRecord>)>;
    using ListCallback = absl::AnyInvocable<void(Result<std::vector<JobRecord>>)>;

    /** Both must outlive the object. */
    JobRecords(Store&, const Clock&);

    /** Stores a new job. Succeeds if the same job is stored already; a different job under its id is a Conflict. After
     * StoreUnavailable the job may or may not be stored, so it must be sent again under the same id. */
    void create(JobRecord record, absl::Duration timeout, CreateCallback callback);
    /** Merges `record` into the stored record and calls back with the outcome. Retries until `timeout` has passed. */
    void update(JobRecord record, absl::Duration timeout, UpdateCallback callback);
    void read(const std::string& id, CreateCallback callback);
    /** Lists all jobs of a partition. */
    void list(uint32_t partition, ListCallback callback);
    /** Removes the record of an ended job; after a failure a later call has to remove it. */
    void remove(const std::string& id);
    void tick(Instant now);

private:
    struct Write {
        JobRecord record;
        bool isNew = false;
        Instant deadline;
        Instant nextTry;
        bool isInFlight = false;
        CreateCallback callback;
    };
    using WritePtr = std::shared_ptr<Write>;

    void beginWrite(JobRecord record, bool isNew, absl::Duration timeout, CreateCallback callback);
    void attempt(const WritePtr& write);
    void handleCurrent(const WritePtr& write, const StoreReply& reply);
    void put(const WritePtr& write, uint64_t index);
    void retryLater(const WritePtr& write);
    void finish(const WritePtr& write, Result<JobRecord> result);

    Store& m_store;
    const Clock& m_clock;
    std::list<WritePtr> m_writes;
};

} // namespace cicada
