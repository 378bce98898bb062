#pragma once

/** \file
 * The order in which the waiting requests of one service are started. The order varies, so it is behind an interface:
 * first come first served is the baseline, FairDeadlineQueue is what profiles ask for.
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

/** One waiting request, as far as its order goes. */
struct QueuedRequest {
    /** Unique, and growing with arrival. */
    uint64_t ticket = 0;
    std::string profile;
    int urgency = 5;
    int share = 1;
    Instant deadline;
    /** What its run is expected to take. */
    absl::Duration expectedRun;
    /** Whether it is kept off the reserve for short work. */
    bool isLong = false;
};

/** Says whether a request that is long (true) or short (false) could be started now. */
using MayStart = absl::FunctionRef<bool(bool isLong)>;

/** The waiting requests of one service. Used on the decision thread only. */
class RequestQueue {
public:
    virtual ~RequestQueue() = default;
    virtual void push(QueuedRequest request) = 0;
    /** The request to start next of those that may start; nothing when there is none. It stays queued. */
    virtual std::optional<uint64_t> next(MayStart mayStart) = 0;
    /** Takes a request out because it starts; its run time counts towards its profile's share. */
    virtual void start(uint64_t ticket) = 0;
    /** Takes a request out that will not start from here. */
    virtual void remove(uint64_t ticket) = 0;
    virtual size_t size() const = 0;
    /** The expected run time of the requests that would start before `request`. With `separate`, long and short
     * requests run on slots of their own, and only those of its sort count. */
    virtual absl::Duration workAhead(const QueuedRequest& request, bool separate) const = 0;
};

/** First come, first served, whatever the profiles say. */
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

/** Urgency classes, most urgent first, except that the less urgent ones that wait get `minLessUrgentShare` of the run
 * time between them; within a class the earliest deadline, as long as no profile gets ahead of its share by more than
 * `fairnessSlack`. */
class FairDeadlineQueue final : public RequestQueue {
public:
    void push(QueuedRequest request) override;
    std::optional<uint64_t> next(MayStart mayStart) override;
    void start(uint64_t ticket) override;
    void remove(uint64_t ticket) override;
    size_t size() const override { return m_positions.size(); }
    absl::Duration workAhead(const QueuedRequest& request, bool separate) const override;

    /** Of the run time that is started, for all classes below the most urgent one that waits. */
    static constexpr double minLessUrgentShare = 0.2;
    /** How much of it may be saved up while a less urgent class waits but can't start. */
    static constexpr absl::Duration maxCredit = absl::Seconds(2);
    /** In run time for one unit of share. */
    static constexpr absl::Duration fairnessSlack = absl::Seconds(2);

private:
    /** The requests of one profile. */
    struct Flow {
        int urgency = 0;
        int share = 1;
        bool isLong = false;
        /** By deadline, then by arrival. */
        absl::btree_map<std::pair<Instant, uint64_t>, absl::Duration> requests;
        absl::Duration work;
        /** Run time started so far, divided by the share. */
        absl::Duration used;
    };
    struct Class {
        /** By profile. The addresses of flows must last. */
        std::map<std::string, Flow, std::less<>> flows;
        size_t waiting = 0;
        /** Run time that was started out of the share of the less urgent. */
        absl::Duration usedCredit;
        /** Where a flow begins that had no requests, so that it can't claim the past. */
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
    /** Run time that is due to the less urgent classes; below zero when they had more. */
    absl::Duration m_credit;
};

} // namespace cicada
