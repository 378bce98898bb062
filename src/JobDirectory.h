#pragma once

/** \file
 * The interface to jobs for callers, who may use any entry. Submitting stores the job and notifies its owner. Queries
 * and cancellations are forwarded to the owner; if the owner cannot reply, they are served from the store.
 */

#include "JobController.h"
#include "RequestNumbers.h"

#include <string>
#include <vector>

namespace cicada {

/** Accepts, finds and cancels jobs for callers. Used on the decision thread only. */
class JobDirectory {
public:
    struct Parts {
        std::string name;
        PeerBus& peers;
        Ownership& ownership;
        BackEnds& backEnds;
        const Clock& clock;
        JobRecords& records;
        Quotas& quotas;
        JobController& controller;
    };
    using ReplyCallback = JobController::ReplyCallback;

    /** Everything in `parts` must outlive the directory. */
    explicit JobDirectory(Parts parts);

    /** Accepts a job: calls back with its id once it is stored. */
    void submit(JobSpec spec, Profile profile, ReplyCallback callback);
    void find(const std::string& id, ReplyCallback callback);
    void cancel(const std::string& id, ReplyCallback callback);
    void tick(Instant now);

private:
    struct Query {
        std::string job;
        bool cancel = false;
        Instant deadline;
        ReplyCallback callback;
    };
    struct Notice {
        std::string job;
        Instant nextSend;
        int sends = 0;
    };

    void ask(const std::string& id, bool cancel, ReplyCallback callback);
    void handleQuery(const std::string& from, const JobQuery&);
    void handleReply(const JobReply&);
    void replyFromStore(const std::string& id, bool cancel, ReplyCallback callback);
    void sendNotice(Notice& notice, Instant now);
    std::string ownerOf(const std::string& id) const;

    Parts m_parts;
    absl::btree_map<uint64_t, Query> m_queries;
    RequestNumbers m_queryNumbers;
    std::vector<Notice> m_notices;
};

} // namespace cicada
