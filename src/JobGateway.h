#pragma once

/** \file
 * Forwards requests from any entry to the owner of a job's cell. A request is sent again whenever the owner changes or
 * the link to it comes back, which is safe because jobs are identified by their ids and cancelling is idempotent. When
 * a request times out, its status depends on whether it was ever sent: only then may the owner have received it.
 */

#include "Cell.h"
#include "CellDirectory.h"
#include "PeerBus.h"
#include "RequestNumbers.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_set.h"

#include <optional>

namespace cicada {

/** Kinds of requests to a cell's owner. */
enum class GatewayVerb { Submit, Query, Cancel, Pending };

/** Final status of a request. */
enum class GatewayStatus {
    Accepted,
    /** The job was not accepted and will not run. The count is the number of seconds after which it may be sent again,
     * or 0 where the owner names none. */
    Refused,
    Found,
    Cancelled,
    Gone,
    Counted,
    /** The request timed out, and the owner may have received it. */
    Unknown,
    /** The request timed out or found no owner, and was never sent. */
    Unreached,
    /** The job is in another cell, whose number is in the count; not a final status. */
    Moved,
};

absl::string_view gatewayStatusName(GatewayStatus);

struct GatewayReply {
    GatewayStatus status = GatewayStatus::Unreached;
    JobPhase phase = JobPhase::Queued;
    /** After Counted, the number of jobs; after Moved, the cell; after Refused, the RefusalCode; after Found, how many
     * workers crashed under the task for which the job was given up. Entries of former builds ignore the last two and
     * leave 0. */
    uint64_t count = 0;

    bool isRefusedFor(RefusalCode reason) const
    {
        return status == GatewayStatus::Refused && count == static_cast<uint64_t>(reason);
    }
};

/** Forwards requests to owners, and serves other entries' requests for the cells that this entry owns. Used on the
 * decision thread only. */
class JobGateway {
public:
    using Callback = absl::AnyInvocable<void(GatewayReply)>;
    struct Parts {
        CellDirectory& directory;
        PeerBus& peers;
        TimerQueue& timers;
        EventLog& log;
        Metrics& metrics;
        std::string self;
        /** The cell if this entry owns it, else null. */
        std::function<Cell*(uint32_t)> cellOf;
        std::function<bool(const std::string& peer)> isLinked;
    };

    explicit JobGateway(Parts parts);

    /** `timeout` is how long the caller waits for the reply. */
    void submit(const Submission&, const QueuePolicy&, absl::Duration timeout, Callback);
    void query(const JobAddress& job, absl::Duration timeout, Callback);
    void cancel(const JobAddress& job, absl::Duration timeout, Callback);
    void pending(const std::string& queue, absl::Duration timeout, Callback);
    /** Sends open requests again after the owner of a cell or a link has changed. */
    void resendOpenRequests();
    /** Ends every open request as timed out. */
    void expireAll();
    size_t open() const { return m_open.size(); }
    /** Whether a request for any cell can be sent now. */
    bool canReachOwners() const;

private:
    struct Request {
        GatewayVerb verb = GatewayVerb::Query;
        /** The job's id or the queue's name, for the log. */
        std::string subject;
        std::string body;
        /** The queue in which the job is asked about; empty for other requests. */
        std::string queue;
        Callback callback;
        uint32_t cell = 0;
        Instant openedAt {};
        Instant sentAt = absl::ZeroDuration() - absl::Hours(1);
        std::string sentTo {};
        bool wasSent = false;
        /** Sends to owners that have not been answered. */
        uint32_t unanswered = 0;
        /** The owner to which it was last sent with its queue. */
        std::string queueSentTo {};
        bool wasSentWithoutQueue = false;
        /** The cell that its home cell's owner has named, if any. */
        std::optional<uint32_t> redirectedTo {};
        /** The cell in which the job was not found although its home cell's owner had named it. */
        std::optional<uint32_t> notFoundIn {};
    };

    /** A request as the owner of its cell gets it. */
    struct CellRequest {
        GatewayVerb verb = GatewayVerb::Query;
        uint32_t cell = 0;
        /** Another cell's owner was asked before. */
        bool isRedirected = false;
        /** The encoded submission, the job's id or the queue's name. */
        std::string body;
        /** The queue in which the job is asked about; empty for none. */
        std::string queue;
    };

    void openRequest(Request request, absl::Duration timeout);
    void trySend(uint64_t number);
    void finish(uint64_t number, GatewayReply reply);
    void expire(uint64_t number);
    void checkOwnerless(uint64_t number);
    void resendLater(uint64_t number);
    /** Handles a request on the owner. The callback's flag says whether this entry owns the cell; if not, the request
     * is sent again. */
    void serve(const CellRequest& request, absl::AnyInvocable<void(GatewayReply, bool)>);
    /** The message that passes the request on to the owner. Owners of former builds read no queue, so one that has not
     * replied to a message with it gets the next one without. */
    std::string messageFor(const std::string& owner, uint64_t number, Request& request, bool isRedirected) const;
    /** Remembers an owner that has replied to a request with a queue. */
    void recordQueueRead(const std::string& owner, uint64_t number);
    /** Handles the owner's answer, which may send the request elsewhere. */
    void handleAnswer(uint64_t number, GatewayReply reply, bool isOwner);
    void handleRedirect(uint64_t number, Request& request, uint32_t cell);
    void handleRequest(const std::string& from, absl::string_view bytes);
    void handleReply(const std::string& from, absl::string_view bytes);

    Parts m_parts;
    absl::btree_map<uint64_t, Request> m_open;
    RequestNumbers m_numbers;
    /** Linked entries that are known to read the queue of a request. */
    absl::flat_hash_set<std::string> m_readsQueue;
};

} // namespace cicada
