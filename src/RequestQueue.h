#pragma once

/** \file
 * The order in which the waiting requests of one service are started. There are several policies, hence the interface:
 * FifoQueue is the baseline, and FairDeadlineQueue implements the urgency, deadline and share of profiles.
 */

#include "Clock.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/strings/string_view.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cicada {

/** The parts of a waiting request that determine its position. */
struct QueuedRequest {
    /** Unique, and increasing in the order of arrival. */
    uint64_t ticket = 0;
    std::string profile;
    int urgency = 5;
    int share = 1;
    Instant deadline;
    /** The expected run time. */
    absl::Duration expectedRun;
    /** Whether it is long work, which may not use the slots reserved for short work. */
    bool isLong = false;
};

/** Returns whether a long (true) or short (false) request could be started now. */
using MayStart = absl::FunctionRef<bool(bool isLong)>;

/** The waiting requests of one service. Used on the decision thread only. */
class RequestQueue {
public:
    virtual ~RequestQueue() = default;
    virtual void push(QueuedRequest request) = 0;
    /** The next request to start, of those that may start now; nothing if there is none. It stays queued. */
    virtual std::optional<uint64_t> next(MayStart mayStart) = 0;
    /** Removes a request that is being started; its run time counts towards its profile's share. */
    virtual void start(uint64_t ticket) = 0;
    /** Removes a request that will not start from this queue. */
    virtual void remove(uint64_t ticket) = 0;
    virtual size_t size() const = 0;
    /** The expected run time of the requests that would start before `request`. With `separate`, long and short
     * requests use separate slots, and only the requests of the same kind count. */
    virtual absl::Duration workAhead(const QueuedRequest& request, bool separate) const = 0;
};

/** First come, first served, regardless of the profiles. */
class FifoQueue final : public RequestQueue {
public:
    void push(QueuedRequest request) override;
    std::optional<uint64_t> next(MayStart mayStart) override;
    void start(uint64_t ticket) override { remove(ticket); }
    void remove(uint64_t ticket) override;
    size_t size() const override { return m_requests.size(); }
    absl::Duration workAhead(const QueuedRequest& request, bool separate) const override;

private:
    absl::btree_map<uint64_t, QueuedRequest> m_requests;
    absl::Duration m_work;
};

/** Starts the most urgent class first, but guarantees the waiting less urgent classes together `minLessUrgentShare` of
 * the run time. Within a class the earliest deadline comes first, as long as no profile exceeds its share by more than
 * `fairnessSlack`. */
class FairDeadlineQueue final : public RequestQueue {
public:
    void push(QueuedRequest request) override;
    std::optional<uint64_t> next(MayStart mayStart) override;
    void start(uint64_t ticket) override;
    void remove(uint64_t ticket) override;
    size_t size() const override { return m_positions.size(); }
    absl::Duration workAhead(const QueuedRequest& request, bool separate) const override;

    /** The share of the started run time for all classes below the most urgent waiting class together. */
    static constexpr double minLessUrgentShare = 0.2;
    /** The maximum credit that accumulates while a less urgent class waits but can't start. */
    static constexpr absl::Duration maxCredit = absl::Seconds(2);
    /** Run time per unit of share. */
    static constexpr absl::Duration fairnessSlack = absl::Seconds(2);

private:
    /** The requests of one profile. */
    struct Flow {
        int urgency = 0;
        int share = 1;
        bool isLong = false;
        /** The expected run times, by deadline and then by arrival. */
        absl::btree_map<std::pair<Instant, uint64_t>, absl::Duration> requests;
        absl::Duration work;
        /** Run time started so far, divided by the share. */
        absl::Duration used;
    };
    struct Class {
        /** By profile. The addresses of flows must stay valid, because `m_positions` refers to them. */
        std::map<std::string, Flow, std::less<>> flows;
        size_t waiting = 0;
        /** Run time that was started on the credit of the less urgent classes. */
        absl::Duration usedCredit;
        /** The initial `used` of a flow that had no requests, so that it can't claim a share of the time when it was
         * empty. */
        absl::Duration virtualTime;
    };
    struct QueuePosition {
        Flow* flow;
        Instant deadline;
    };

    static Flow* chooseFlow(Class& urgencyClass, MayStart mayStart);
    void removeRequest(uint64_t ticket, bool starts);
    Flow* chooseLessUrgent(int urgency, MayStart mayStart);
    void updateCredit(int urgency, absl::Duration run);

    /** Most urgent first. */
    std::map<int, Class, std::greater<>> m_classes;
    absl::flat_hash_map<uint64_t, QueuePosition> m_positions;
    /** Run time owed to the less urgent classes; negative if they received more than their share. */
    absl::Duration m_credit;
};

} // namespace cicada
