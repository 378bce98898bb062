#pragma once

/** \file
 * A stand-in for the store of the users' platform, over HTTP as published: transactions, ranges with pages, watches and
 * leases. It can be made to fail as a real one does.
 */

#include "HttpServer.h"

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cicada::test {

/** How the store treats calls. */
enum class GridStoreMood {
    Well,
    /** Refused, with no effect. */
    Refuses,
    /** A third of the writes takes effect and is not answered. */
    LosesReplies,
    /** A third of the writes takes effect seconds later, if its conditions still hold, and is not answered. */
    WritesLate,
    /** Answers take half a second. */
    Slow,
    /** Calls have no effect and get no answer; watches that wait get theirs when this is over. */
    Silent,
};

/** Calls `function` once, after `delay`. */
void later(boost::asio::io_context& io, absl::Duration delay, std::function<void()> function);

/** The store. Used on the loop's thread only. */
class GridStore {
public:
    GridStore(boost::asio::io_context& io, uint64_t seed);

    void handle(const platform::HttpRequest&, platform::HttpResponder);
    /** Writes as the operator or a worker does. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    void setMood(GridStoreMood mood) { m_mood = mood; }
    bool isDown() const { return m_mood == GridStoreMood::Refuses || m_mood == GridStoreMood::Silent; }
    /** Watches that lag behind must list again. */
    void dropHistory();

private:
    using SteadyTime = std::chrono::steady_clock::time_point;
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t lease = 0;
    };
    struct Lease {
        absl::Duration ttl;
        SteadyTime endsAt;
    };
    struct Answer {
        int status = 200;
        std::string body;
    };

    void answer(const platform::HttpRequest&, platform::HttpResponder);
    Answer call(const platform::HttpRequest&);
    Answer transact(const std::string& body);
    Answer range(const std::string& query) const;
    void watch(const std::string& query, const std::shared_ptr<platform::HttpResponder>& respond);
    void poll(const std::string& prefix, uint64_t after, SteadyTime until,
        const std::shared_ptr<platform::HttpResponder>& respond);
    Answer grant(const std::string& body);
    Answer keep(uint64_t lease);
    void expire(uint64_t lease);
    void end(uint64_t lease);
    void erase(const std::string& key, uint64_t revision);

    boost::asio::io_context& m_io;
    std::mt19937_64 m_random;
    GridStoreMood m_mood = GridStoreMood::Well;
    absl::btree_map<std::string, Item> m_items;
    std::vector<std::pair<std::string, uint64_t>> m_events;
    absl::btree_map<uint64_t, Lease> m_leases;
    uint64_t m_revision = 1;
    uint64_t m_oldest = 0;
    uint64_t m_lastLease = 0;
};

} // namespace cicada::test
