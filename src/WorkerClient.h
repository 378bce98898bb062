#pragma once

/** \file
 * Interface for calls to workers. Calls return at once; their results arrive in callbacks on the decision thread.
 */

#include "WorkerMessages.h"

#include "absl/functional/any_invocable.h"

#include <string>

namespace cicada {

/** The outcome of a start or stop request as seen by the sender. */
enum class WorkerReply {
    Done,
    /** The worker refused the request: it has not taken effect and never will. */
    Refused,
    /** No reply was received; the request may or may not have taken effect. */
    NoReply,
};

/** Calls to workers. Used on the decision thread only; callbacks run there too, and never within the call. */
class WorkerClient {
public:
    virtual ~WorkerClient() = default;
    /** Calls back with the worker's view, or with an error if no reply was received. */
    virtual void sync(const Endpoint& worker, WorkerSync, absl::AnyInvocable<void(Result<WorkerView>)>) = 0;
    virtual void start(const Endpoint& worker, WorkerStart, absl::AnyInvocable<void(WorkerReply)>) = 0;
    virtual void stop(const Endpoint& worker, WorkerStop, absl::AnyInvocable<void(WorkerReply)>) = 0;
};

} // namespace cicada
