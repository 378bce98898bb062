#pragma once

/** \file
 * Orders to workers. A worker remembers the highest fencing token that it has seen, refuses orders with a lower one,
 * and runs everything under a lease on its own clock. An order without a reply may have been executed, or may still be
 * executed later; its lease end bounds how long it can have an effect.
 */

#include "Workload.h"

#include "absl/functional/any_invocable.h"

#include <functional>
#include <optional>

namespace cicada {

/** One incarnation of a worker. A worker that restarts under the same id has lost all state. */
struct WorkerIncarnation {
    std::string id;
    Endpoint address;
};

/** A worker as the platform lists it. */
struct ListedWorker {
    WorkerIncarnation incarnation;
    /** When it started, in milliseconds since 1970; 0 where the list does not have it. */
    int64_t startedUnixMillis = 0;
    std::string service;
    std::string failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
};

/** Outcome of an order, as far as the sender can tell. */
enum class OrderStatus {
    Done,
    /** The worker has seen a higher fencing token. */
    Fenced,
    /** The run number is not higher than one that was stopped or ended there. */
    StaleRun,
    /** The order's lease had expired when the order arrived. */
    LeaseExpired,
    NoCapacity,
    /** The step's ticket is missing, not for this worker, or too old. */
    NoTicket,
    Malformed,
    /** The worker reports that it is unhealthy, and did not execute the order. */
    Unhealthy,
    /** Another incarnation replies at the address: the addressed one has ended. */
    OtherIncarnation,
    /** No connection was made: the order was not sent. */
    NotSent,
    /** Too many other orders to the worker were waiting for their replies: the order was not sent. */
    Congested,
    /** No reply: the order may have been executed, or may still be executed later. */
    NoReply,
};

absl::string_view orderStatusName(OrderStatus);

/** The reply to an order. Worker times are milliseconds on the worker's own clock. */
struct OrderReply {
    OrderStatus status = OrderStatus::NoReply;
    std::optional<int64_t> workerClockMillis;
    /** Without a reply: the worker's end closed the connection or refused it, rather than that time ran out. */
    bool wasClosed = false;
};

/** An order to start a run. */
struct StartOrder {
    TaskRun run;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    uint64_t fencingToken = 0;
    /** The end, on the worker's clock, of the lease under which everything on the worker then runs. */
    int64_t leaseEndMillis = 0;
};

/** A run that a worker lists. */
struct ListedRun {
    TaskRun run;
    std::string checkpoint;
    int percent = 0;
    /** For a service its latency in milliseconds, otherwise the processors in use in thousandths of a core. */
    int64_t usage = 0;
};

enum class RunEnding {
    Finished,
    /** The task or the worker failed. */
    Failed,
    Stopped,
    LeaseEnded,
    /** Another member of its gang ended. */
    GangBroken,
    /** The other members of its gang did not start. */
    GangIncomplete,
};

absl::string_view runEndingName(RunEnding);

/** The end of a run, which the worker lists until it is acknowledged. */
struct EndedRun {
    /** Increases by one with each end in the worker's incarnation. */
    uint64_t sequence = 0;
    TaskRun run;
    RunEnding ending = RunEnding::Failed;
    std::string checkpoint;
};

/** Renews the lease, acknowledges ends and requests the lists of running and ended runs. */
struct SyncOrder {
    uint64_t fencingToken = 0;
    /** The worker forgets its ends up to this sequence number; 0 acknowledges none. */
    uint64_t acknowledgedThrough = 0;
    /** Without a value the lease is not renewed. */
    std::optional<int64_t> leaseEndMillis;
    /** How long the worker may delay its reply until a run ends. */
    absl::Duration wait;
};

struct SyncReply {
    OrderStatus status = OrderStatus::NoReply;
    std::optional<int64_t> workerClockMillis;
    /** When the worker that replied started, in milliseconds since 1970; 0 where the reply does not have it. */
    int64_t startedUnixMillis = 0;
    std::vector<ListedRun> running;
    std::vector<EndedRun> ended;
    /** False when more runs may have ended than the reply has room for. */
    bool hasAllEnds = true;
    /** As in `OrderReply`. */
    bool wasClosed = false;
};

/** Sends orders to workers. Used on the decision thread only; callbacks run on it too, and never within the call. */
class WorkerOrders {
public:
    virtual ~WorkerOrders() = default;
    virtual void start(const WorkerIncarnation&, StartOrder, absl::AnyInvocable<void(OrderReply)>) = 0;
    /** A run that has not arrived yet is refused from then on. */
    virtual void stop(const WorkerIncarnation&, TaskRun, uint64_t fencingToken, absl::AnyInvocable<void(OrderReply)>)
        = 0;
    virtual void sync(const WorkerIncarnation&, SyncOrder, absl::AnyInvocable<void(SyncReply)>) = 0;
};

/** The platform's list of workers, which is eventually consistent. */
class WorkerRoster {
public:
    virtual ~WorkerRoster() = default;
    /** Calls back for each worker that is new or changed, and with null for one that is no longer listed. */
    virtual void watch(
        std::function<void(const std::string& id, const ListedWorker*)> onChange, std::function<void()> onSynced)
        = 0;
    virtual void unwatch() = 0;
};

} // namespace cicada
