#pragma once

/** \file
 * Access to the policy service, which decides on which workers a step may run. The service handles one call at a time
 * for each calling machine, so every entry is an advisor slot that the whole system shares: a cell's owner sends its
 * requests through the entry that is free first, and keeps some slots clear of long requests so that short ones do not
 * queue behind them.
 */

#include "EventLog.h"
#include "PeerBus.h"
#include "RequestNumbers.h"
#include "TimerQueue.h"
#include "Workload.h"

#include "absl/container/btree_map.h"

#include <deque>
#include <functional>
#include <memory>

namespace cicada {

/** Permission to run a step's tasks on one worker. */
struct Ticket {
    std::string worker;
    std::string text;
};

/** Asks on which of the workers a step may run. */
struct AdviceRequest {
    TaskName step;
    std::vector<std::string> workers;
};

struct AdviceReply {
    bool isValid = false;
    std::vector<Ticket> tickets;
    /** How long the tickets are valid from the reply on; zero where the reply does not say. */
    absl::Duration validity;
};

/** Calls the policy service from this machine. Used on the decision thread only; never calls back within the call. */
class Advisor {
public:
    virtual ~Advisor() = default;
    virtual void request(const AdviceRequest&, absl::Duration timeout, absl::AnyInvocable<void(AdviceReply)>) = 0;
};

/** Distributes requests over the advisor slots of the entries. Used on the decision thread only. */
class AdvisorSlots {
public:
    /** The referenced objects must outlive this one. */
    AdvisorSlots(std::string self, Advisor& advisor, PeerBus& peers, TimerQueue& timers, EventLog& log);

    /** Restricts which other entries' slots are used, so that the owners of several cells do not queue behind each
     * other. */
    void setSlotFilter(std::function<bool(const std::string& entry)> slotFilter)
    {
        m_slotFilter = std::move(slotFilter);
    }
    /** Sends the request through the slot that is free first. `expected` is how long the service takes to handle it. */
    void request(AdviceRequest, absl::Duration expected, absl::AnyInvocable<void(AdviceReply)>);
    /** Fails the requests that were sent through the entry's slot, as their replies can no longer arrive. */
    void handleLinkLost(const std::string& entry);
    /** Number of requests that wait for the slots which one of this expected duration could use. */
    size_t waitingBefore(absl::Duration expected) { return isLong(expected) ? m_long.size() : m_short.size(); }

private:
    struct Waiting {
        AdviceRequest adviceRequest;
        absl::Duration expected;
        absl::AnyInvocable<void(AdviceReply)> callback;
    };
    struct Slot {
        Instant busyUntil = absl::ZeroDuration();
        size_t inFlight = 0;
        /** Smoothed time that replies take beyond the service's own time: transit both ways, and calls of others. */
        absl::Duration overhead = absl::ZeroDuration();
    };
    struct Sent {
        std::string slot;
        Instant sentAt;
        absl::Duration expected;
        absl::AnyInvocable<void(AdviceReply)> callback;
    };

    bool isLong(absl::Duration expected);
    void sendWaiting();
    void refreshSlots();
    bool sendNext(std::deque<Waiting>& queue, bool isLong);
    Slot* findFreeSlot(bool isLong, std::string& name);
    void send(const std::string& slot, Waiting waiting);
    void finish(uint64_t number, AdviceReply reply);
    void handleRequest(const std::string& from, absl::string_view bytes);
    void handleReply(absl::string_view bytes);

    const std::string m_self;
    Advisor& m_advisor;
    PeerBus& m_peers;
    TimerQueue& m_timers;
    EventLog& m_log;
    std::function<bool(const std::string&)> m_slotFilter;
    absl::btree_map<std::string, Slot> m_slots;
    std::deque<Waiting> m_short;
    std::deque<Waiting> m_long;
    absl::btree_map<uint64_t, Sent> m_sent;
    RequestNumbers m_numbers;
    /** The minimum expected duration of recent requests; the others count as long relative to it. */
    absl::Duration m_minExpected = absl::InfiniteDuration();
    Instant m_minExpectedAt = absl::ZeroDuration();
};

} // namespace cicada
