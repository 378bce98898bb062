#include "HttpWorkerClient.h"

#include <httplib.h>

namespace cicada {

namespace {

    constexpr size_t maxQueuedCalls = 8192;
    constexpr size_t threadCount = 8;
    constexpr time_t connectTimeoutMicros = 300000;
    constexpr time_t replyTimeoutSeconds = 2;
    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;

    WorkerReply toReply(int status)
    {
        if (status == statusOk)
            return WorkerReply::Done;
        return status == statusConflict ? WorkerReply::Refused : WorkerReply::NoReply;
    }

} // namespace

HttpWorkerClient::HttpWorkerClient(EventLoop& loop)
    : m_loop(loop)
    , m_calls(maxQueuedCalls, [this](Call& call) { send(call); })
{
}

HttpWorkerClient::~HttpWorkerClient() { stop(); }

Result<void> HttpWorkerClient::start()
{
    m_calls.start(threadCount);
    return success();
}

void HttpWorkerClient::stop() { m_calls.stop(); }

void HttpWorkerClient::sync(
    const Endpoint& worker, WorkerSync message, absl::AnyInvocable<void(Result<WorkerView>)> callback)
{
    enqueue({ worker, "/v1/sync", encode(message),
        [callback = std::move(callback)](int status, const std::string& body) mutable {
            if (status == statusOk)
                callback(decodeWorkerView(body));
            else
                callback(Error { ErrorKind::BackEndFailed, "The worker did not reply.", "Check the worker." });
        } });
}

void HttpWorkerClient::start(
    const Endpoint& worker, WorkerStart message, absl::AnyInvocable<void(WorkerReply)> callback)
{
    enqueue({ worker, "/v1/start", encode(message),
        [callback = std::move(callback)](int status, const std::string&) mutable { callback(toReply(status)); } });
}

void HttpWorkerClient::stop(const Endpoint& worker, WorkerStop message, absl::AnyInvocable<void(WorkerReply)> callback)
{
    enqueue({ worker, "/v1/stop", encode(message),
        [callback = std::move(callback)](int status, const std::string&) mutable { callback(toReply(status)); } });
}

void HttpWorkerClient::enqueue(Call call)
{
    if (m_calls.tryPush(call))
        return;
    auto callback = std::make_shared<Callback>(std::move(call.callback));
    m_loop.post([callback] { (*callback)(0, ""); });
}

void HttpWorkerClient::send(Call& call)
{
    httplib::Client client(call.worker.host, call.worker.port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(0, connectTimeoutMicros);
    client.set_read_timeout(replyTimeoutSeconds);
    client.set_write_timeout(replyTimeoutSeconds);
    const auto response = client.Post(call.path, call.body, "application/json");
    const int status = response ? response->status : 0;
    m_loop.postBlocking([callback = std::make_shared<Callback>(std::move(call.callback)), status,
                            body = response ? response->body : std::string()] { (*callback)(status, body); });
}

} // namespace cicada
