#pragma once

/** \file
 * The store over HTTP with Consul's interface: keys below /v1/kv, ?cas= for compare-and-swap, ?recurse for lists and
 * ?index= for blocking queries. docs/BACKENDS.md has the contract.
 */

#include "EventLoop.h"
#include "Settings.h"
#include "Store.h"

#include <atomic>
#include <memory>
#include <thread>

namespace cicada {

/** A Store client with one thread for calls and one for the watch. */
class HttpStore final : public Service, public Store {
public:
    /** `loop` must outlive the store. */
    HttpStore(Endpoint server, EventLoop& loop);
    ~HttpStore() override;

    absl::string_view name() const override { return "store"; }
    Result<void> start() override;
    void stop() override;

    void get(absl::string_view key, Callback) override;
    void list(absl::string_view prefix, Callback) override;
    void put(absl::string_view key, std::string value, uint64_t expectedIndex, Callback) override;
    void remove(absl::string_view key, uint64_t expectedIndex, Callback) override;
    void watch(absl::string_view prefix, absl::AnyInvocable<void(absl::Span<const StoreEntry>)>) override;
    StoreCallCounts counts() const override;

private:
    struct Call;
    struct Connection;
    using WatchCallback = absl::AnyInvocable<void(absl::Span<const StoreEntry>)>;

    void enqueue(Call call);
    void runCalls();
    void runWatch();
    StoreReply perform(Connection&, const Call&);

    const Endpoint m_server;
    EventLoop& m_loop;
    std::unique_ptr<RingBuffer<Call>> m_calls;
    std::string m_watchPrefix;
    std::shared_ptr<WatchCallback> m_watchCallback;
    std::atomic<uint64_t> m_reads { 0 };
    std::atomic<uint64_t> m_writes { 0 };
    std::atomic<uint64_t> m_watches { 0 };
    std::atomic<uint64_t> m_failures { 0 };
    std::unique_ptr<Connection> m_watchConnection;
    std::atomic<bool> m_stopping { false };
    std::thread m_callThread;
    std::thread m_watchThread;
    absl::Mutex m_mutex;
    absl::CondVar m_wake;
};

} // namespace cicada
