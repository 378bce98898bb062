#pragma once

/** \file
 * The way to the workers. The logic sees calls that return at once and callbacks on the decision thread.
 */

#include "WorkerMessages.h"

#include "absl/functional/any_invocable.h"

#include <string>

namespace cicada {

/** How a start or a stop ended, as far as this side can know. */
enum class WorkerReply {
    Done,
    /** The worker refused: it did nothing and will do nothing. */
    Refused,
    /** No reply; it may or may not have taken effect. */
    NoReply,
};

/** Calls to workers. Call it on the decision thread only; callbacks run there too, and never within the call. */
class WorkerClient {
public:
    virtual ~WorkerClient() = default;
    /** Calls back with the worker's view, or with an error when there was no reply. */
    virtual void sync(const Endpoint& worker, WorkerSync, absl::AnyInvocable<void(Result<WorkerView>)>) = 0;
    virtual void start(const Endpoint& worker, WorkerStart, absl::AnyInvocable<void(WorkerReply)>) = 0;
    virtual void stop(const Endpoint& worker, WorkerStop, absl::AnyInvocable<void(WorkerReply)>) = 0;
};

} // namespace cicada
