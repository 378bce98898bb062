#pragma once

/** \file
 * Calls to workers over HTTP, made by a fixed number of threads that take them from a bounded ring buffer.
 */

#include "EventLoop.h"
#include "QueueThreads.h"
#include "ServiceRegistry.h"
#include "WorkerClient.h"

namespace cicada {

/** The HTTP client for the workers' contract. A call that finds the ring buffer full ends as one without a reply. */
class HttpWorkerClient final : public Service, public WorkerClient {
public:
    /** `loop` must outlive the client. */
    explicit HttpWorkerClient(EventLoop& loop);
    ~HttpWorkerClient() override;

    absl::string_view name() const override { return "worker-client"; }
    Result<void> start() override;
    void stop() override;

    void sync(const Endpoint& worker, WorkerSync, absl::AnyInvocable<void(Result<WorkerView>)>) override;
    void start(const Endpoint& worker, WorkerStart, absl::AnyInvocable<void(WorkerReply)>) override;
    void stop(const Endpoint& worker, WorkerStop, absl::AnyInvocable<void(WorkerReply)>) override;

private:
    /** `status` is 0 if no reply was received. */
    using Callback = absl::AnyInvocable<void(int status, const std::string& body)>;
    struct Call {
        Endpoint worker;
        const char* path = "";
        std::string body;
        Callback callback;
    };
    void enqueue(Call call);
    void send(Call& call);

    EventLoop& m_loop;
    QueueThreads<Call> m_calls;
};

} // namespace cicada
