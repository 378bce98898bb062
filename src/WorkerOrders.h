#pragma once

/** \file
 * Orders to workers that keep the highest fencing token they have seen and run everything under a lease on their own
 * clock. An order without a reply may have been carried out, or may still be; its lease end bounds how long it counts.
 */

#include "Workload.h"

#include "absl/functional/any_invocable.h"

#include <functional>
#include <optional>

namespace cicada {

/** One life of a worker. A worker that starts again under its id remembers nothing. */
struct WorkerIncarnation {
    std::string id;
    Endpoint address;
};

/** A worker as the platform lists it. */
struct ListedWorker {
    WorkerIncarnation incarnation;
    /** When it started, in milliseconds since 1970; 0 where the list does not say. */
    int64_t startedUnixMillis = 0;
    std::string service;
    std::string failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    bool isDraining = false;
};

/** How an order ended, as far as this side can know. */
enum class OrderStatus {
    Done,
    /** The worker has seen a higher fencing token. */
    Fenced,
    /** A run that is not higher than one that was stopped or ended there. */
    StaleRun,
    /** The order's lease had ended when it arrived. */
    LeaseExpired,
    NoCapacity,
    /** The step's ticket is missing, not for this worker, or too old. */
    NoTicket,
    Malformed,
    /** The worker is not well, and did nothing. */
    Unhealthy,
    /** Another life answers at the address: the one that was meant is over. */
    OtherIncarnation,
    /** No connection was made: the order was not sent. */
    NotSent,
    /** No reply: it may have been carried out, or may still be. */
    NoReply,
};

absl::string_view orderStatusName(OrderStatus);

/** The reply to an order. Worker times are milliseconds on the worker's own clock. */
struct OrderReply {
    OrderStatus status = OrderStatus::NoReply;
    std::optional<int64_t> workerClockMillis;
};

/** An order to start a run. */
struct StartOrder {
    TaskRun run;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    uint64_t fencingToken = 0;
    /** The lease that everything on the worker then holds, on the worker's clock. */
    int64_t leaseEndMillis = 0;
};

/** A run that a worker lists. */
struct ListedRun {
    TaskRun run;
    std::string checkpoint;
    int percent = 0;
    /** A service's latency in milliseconds, else the processors in use in thousandths of a core. */
    int64_t usage = 0;
};

enum class RunEnding {
    Finished,
    /** By its own fault or the worker's. */
    Failed,
    Stopped,
    LeaseEnded,
    /** Another member of its gang ended. */
    GangBroken,
    /** The rest of its gang did not come. */
    GangIncomplete,
};

absl::string_view runEndingName(RunEnding);

/** An end that a worker lists until it is acknowledged. */
struct EndedRun {
    /** Rises by one with each end in the worker's life. */
    uint64_t sequence = 0;
    TaskRun run;
    RunEnding ending = RunEnding::Failed;
    std::string checkpoint;
};

/** Renews the lease, acknowledges ends and asks for the lists. */
struct SyncOrder {
    uint64_t fencingToken = 0;
    uint64_t acknowledgedThrough = 0;
    /** Nothing is renewed without it. */
    std::optional<int64_t> leaseEndMillis;
    /** The reply waits for an end at most this long. */
    absl::Duration wait;
};

struct SyncReply {
    OrderStatus status = OrderStatus::NoReply;
    std::optional<int64_t> workerClockMillis;
    /** When the worker that answered started, in milliseconds since 1970; 0 where it does not say. */
    int64_t startedUnixMillis = 0;
    std::vector<ListedRun> running;
    std::vector<EndedRun> ended;
};

/** Calls to workers. Used on the decision thread only; callbacks run there too, and never within the call. */
class WorkerOrders {
public:
    virtual ~WorkerOrders() = default;
    virtual void start(const WorkerIncarnation&, StartOrder, absl::AnyInvocable<void(OrderReply)>) = 0;
    /** A run that is not there yet is refused from then on. */
    virtual void stop(const WorkerIncarnation&, TaskRun, uint64_t fencingToken, absl::AnyInvocable<void(OrderReply)>)
        = 0;
    virtual void sync(const WorkerIncarnation&, SyncOrder, absl::AnyInvocable<void(SyncReply)>) = 0;
};

/** The list of workers, which lags. */
class WorkerRoster {
public:
    virtual ~WorkerRoster() = default;
    /** Calls back with each worker that is new or changed, and with an id and null for one that has gone. */
    virtual void watch(
        std::function<void(const std::string& id, const ListedWorker*)> onChange, std::function<void()> onSynced)
        = 0;
    virtual void unwatch() = 0;
};

} // namespace cicada
