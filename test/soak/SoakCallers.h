#pragma once

/** \file
 * The callers of the soak: they hand jobs in at any node, again until they have an answer that settles it, ask for
 * states, and cancel some. Connections are kept and used again as long as they work.
 */

#include "HttpClient.h"
#include "SoakJudge.h"

#include <boost/asio/io_context.hpp>

#include <random>

namespace cicada::test {

/** All callers together. Used on the loop's thread only. */
class SoakCallers {
public:
    SoakCallers(boost::asio::io_context&, const Clock&, SoakJudge&, std::vector<Endpoint> nodes, uint64_t seed);

    /** Some jobs are to crash executors. */
    void addDeadlyJobs() { m_hasDeadlyJobs = true; }
    /** How long tasks work, and the shortest pause between two jobs; the longest is four times as long. */
    void setLoad(absl::Duration minWork, absl::Duration maxWork, absl::Duration minPause);
    /** Hands jobs in at intervals until stop(). */
    void start();
    /** Hands nothing in any more; goes on asking. */
    void stop() { m_isStopped = true; }
    /** Jobs whose handing in has no final answer yet. */
    size_t handingIn() const { return m_handingIn; }

private:
    /** What became of the attempts to hand one job in. */
    struct Attempts {
        int made = 0;
        int turnedAway = 0;
        bool isAccepted = false;
        bool isSettled = false;
    };

    void submitNext();
    SoakJob drawJob();
    void submitWithUnknownKey(const SoakJob& job);
    void submit(const std::string& id, const std::string& body, const std::shared_ptr<Attempts>& attempts);
    void cancel(const std::string& id);
    void ask(const std::string& id);
    void call(const char* method, const std::string& id, std::string body,
        absl::AnyInvocable<void(platform::HttpResult)> callback);
    absl::Duration between(int64_t minMillis, int64_t maxMillis);
    absl::Duration between(absl::Duration min, absl::Duration max);

    boost::asio::io_context& m_io;
    SoakJudge& m_judge;
    platform::HttpClient m_http;
    const std::vector<Endpoint> m_nodes;
    std::mt19937_64 m_random;
    bool m_hasDeadlyJobs = false;
    absl::Duration m_minWork = absl::Milliseconds(100);
    absl::Duration m_maxWork = absl::Milliseconds(900);
    absl::Duration m_minPause = absl::Milliseconds(40);
    bool m_isStopped = false;
    size_t m_handingIn = 0;
};

} // namespace cicada::test
