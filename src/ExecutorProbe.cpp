#include "ExecutorProbe.h"

#include "Json.h"

#include "absl/strings/str_cat.h"

#include <httplib.h>

namespace cicada {

namespace {

    /** More than one, so that an unresponsive executor doesn't delay the others for long. */
    constexpr size_t threadCount = 3;
    constexpr size_t maxQueuedCalls = 4096;
    constexpr time_t timeoutMicros = 800000;

    void setTimeouts(httplib::Client& client)
    {
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(0, timeoutMicros);
        client.set_read_timeout(0, timeoutMicros);
        client.set_write_timeout(0, timeoutMicros);
    }

    ProbeReply probeExecutor(const Endpoint& address, uint64_t epoch)
    {
        constexpr int preconditionFailed = 412;
        ProbeReply reply;
        httplib::Client client(address.host, address.port);
        setTimeouts(client);
        const auto fenced = client.Put(absl::StrCat("/v1/epoch/", epoch));
        if (!fenced || (fenced->status != 200 && fenced->status != preconditionFailed))
            return reply;
        const auto list = client.Get("/v1/runs");
        if (!list || list->status != 200)
            return reply;
        const auto document = Internal::Json::parse(list->body, nullptr, false);
        if (!document.is_object() || !document.contains("running"))
            return reply;
        for (const auto& id : document["running"]) {
            if (id.is_string())
                reply.running.push_back(id.get<std::string>());
        }
        reply.reached = true;
        reply.fenced = fenced->status == 200;
        return reply;
    }

    StopReply stopOnExecutor(const Endpoint& address, const std::string& requestId)
    {
        httplib::Client client(address.host, address.port);
        setTimeouts(client);
        const auto response = client.Delete(absl::StrCat("/v1/runs/", requestId, "?only=unstarted"));
        if (!response)
            return StopReply::Unreachable;
        const std::string state = response->get_header_value("Cicada-Run");
        if (state == "stopped")
            return StopReply::Stopped;
        if (state == "done")
            return StopReply::Done;
        return state.empty() ? StopReply::Unreachable : StopReply::Running;
    }

} // namespace

HttpExecutorProbe::HttpExecutorProbe(EventLoop& loop)
    : m_loop(loop)
    , m_calls(maxQueuedCalls, [](Task& call) { call(); })
{
}

HttpExecutorProbe::~HttpExecutorProbe() { stop(); }

Result<void> HttpExecutorProbe::start()
{
    m_calls.start(threadCount);
    return success();
}

void HttpExecutorProbe::stop() { m_calls.stop(); }

void HttpExecutorProbe::probe(const BackEnd& executor, uint64_t epoch, absl::AnyInvocable<void(ProbeReply)> callback)
{
    auto shared = std::make_shared<absl::AnyInvocable<void(ProbeReply)>>(std::move(callback));
    const bool queued = m_calls.push([this, address = executor.address, epoch, shared] {
        auto reply = std::make_shared<ProbeReply>(probeExecutor(address, epoch));
        m_loop.postBlocking([shared, reply] { (*shared)(std::move(*reply)); });
    });
    if (!queued)
        m_loop.post([shared] { (*shared)({}); });
}

void HttpExecutorProbe::stopUnstarted(
    const BackEnd& executor, absl::string_view requestId, absl::AnyInvocable<void(StopReply)> callback)
{
    auto shared = std::make_shared<absl::AnyInvocable<void(StopReply)>>(std::move(callback));
    const bool queued = m_calls.push([this, address = executor.address, id = std::string(requestId), shared] {
        const StopReply reply = stopOnExecutor(address, id);
        m_loop.postBlocking([shared, reply] { (*shared)(reply); });
    });
    if (!queued)
        m_loop.post([shared] { (*shared)(StopReply::Unreachable); });
}

} // namespace cicada
