#pragma once

/** \file
 * The policy service that says which workers may run a step. It answers one call at a time for each machine that
 * calls, so the calls of all entries are a resource of the whole system: a cell's owner sends its questions through
 * the entries that have the shortest queue, and keeps long questions away from some of them for the short ones.
 */

#include "EventLog.h"
#include "PeerBus.h"
#include "TimerQueue.h"
#include "Workload.h"

#include "absl/container/btree_map.h"

#include <deque>
#include <functional>
#include <memory>

namespace cicada {

/** Leave to run a step's tasks on one worker. */
struct Ticket {
    std::string worker;
    std::string text;
};

/** A question about one step. */
struct AdviceRequest {
    TaskName step;
    std::vector<std::string> workers;
};

struct AdviceReply {
    bool isValid = false;
    std::vector<Ticket> tickets;
    /** How long the tickets hold from the answer on; zero where the answer does not say. */
    absl::Duration validity;
};

/** Asks the policy service from this machine. Used on the decision thread only; callbacks never run within the call. */
class Advisor {
public:
    virtual ~Advisor() = default;
    virtual void request(const AdviceRequest&, absl::Duration timeout, absl::AnyInvocable<void(AdviceReply)>) = 0;
};

/** Spreads questions over the entries. Used on the decision thread only. */
class AdvisorSlots {
public:
    /** What is referred to must outlive the lanes. */
    AdvisorSlots(std::string self, Advisor& advisor, PeerBus& peers, TimerQueue& timers, EventLog& log);

    /** Restricts the lanes of other entries, so that the owners of several cells do not queue behind each other. */
    void setSlotFilter(std::function<bool(const std::string& entry)> slotFilter)
    {
        m_slotFilter = std::move(slotFilter);
    }
    /** Asks through the entry that is free first. `expected` is how long the service takes for the question. */
    void request(AdviceRequest, absl::Duration expected, absl::AnyInvocable<void(AdviceReply)>);
    /** Questions that wait for a lane. */
    size_t waiting() const { return m_short.size() + m_long.size(); }

private:
    struct Waiting {
        AdviceRequest adviceRequest;
        absl::Duration expected;
        absl::AnyInvocable<void(AdviceReply)> callback;
    };
    struct Slot {
        Instant busyUntil = absl::ZeroDuration();
        size_t inFlight = 0;
        /** What answers take beyond the service's own time: the way there and back, and calls of others. */
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
    uint64_t m_lastNumber = 0;
    /** The shortest questions of late, against which the others are long. */
    absl::Duration m_minExpected = absl::InfiniteDuration();
    Instant m_minExpectedAt = absl::ZeroDuration();
};

} // namespace cicada
