#pragma once

/** \file
 * Calls to workers over HTTP, from a bounded number of threads with a bounded ring in front.
 */

#include "EventLoop.h"
#include "RingBuffer.h"
#include "ServiceRegistry.h"
#include "WorkerClient.h"

#include <thread>
#include <vector>

namespace cicada {

/** The workers' contract over HTTP as a service. A full ring counts as no reply. */
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
    /** `status` is 0 when there was no reply. */
    using Callback = absl::AnyInvocable<void(int status, const std::string& body)>;
    struct Call {
        Endpoint worker;
        const char* path = "";
        std::string body;
        Callback callback;
    };
    void enqueue(Call call);
    void run();

    EventLoop& m_loop;
    RingBuffer<Call> m_calls;
    std::vector<std::thread> m_threads;
};

} // namespace cicada
