#pragma once

/** \file
 * A stand-in for one executor of the users' platform, over HTTP as published: it keeps the highest fencing token, runs
 * everything under a lease on its own clock, and lists ends until they are acknowledged. It runs what it is told to,
 * also beyond its room; whoever watches it judges that.
 */

#include "HttpServer.h"

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace cicada::test {

/** One start of a task, under the task's name on the wire. */
struct GridRun {
    std::string task;
    uint32_t number = 0;

    friend bool operator<(const GridRun& a, const GridRun& b)
    {
        return std::tie(a.task, a.number) < std::tie(b.task, b.number);
    }
};

/** What happens on executors, as it happens. */
class GridObserver {
public:
    virtual ~GridObserver() = default;
    /** How long the run works, and whether it then fails. */
    virtual absl::Duration workOf(const GridRun&) = 0;
    virtual bool fails(const GridRun&) = 0;
    virtual void started(const std::string& executor, const GridRun&) = 0;
    /** `how` is as on the wire, such as "lapsed"; "lost" when the executor went down while the run was at work. */
    virtual void ended(const std::string& executor, const GridRun&, const std::string& how) = 0;
    /** The end will not be listed again. */
    virtual void acknowledged(const GridRun&, const std::string& how) = 0;
};

/** One executor. Used on the loop's thread only. */
class GridExecutor {
public:
    GridExecutor(boost::asio::io_context& io, std::string id, GridObserver& observer, uint64_t seed);

    void handle(const platform::HttpRequest&, platform::HttpResponder);
    const std::string& id() const { return m_id; }
    /** When this life began, in milliseconds since 1970. */
    int64_t born() const { return m_born; }

    /** Starts again under its id, with nothing remembered. */
    void rebirth();
    /** Starts again at its address, under another id. */
    void rebirthAs(std::string id);
    /** Carries out a share of the orders seconds later and does not answer them. */
    void setLateShare(double share) { m_lateShare = share; }
    /** Longer leases are shortened to this. */
    void setMaxLease(absl::Duration maxLease) { m_maxLeaseMillis = absl::ToInt64Milliseconds(maxLease); }
    /** Lets every run fail. */
    void setFailing(bool failing) { m_isFailing = failing; }

private:
    using SteadyTime = std::chrono::steady_clock::time_point;
    struct End {
        uint64_t sequence = 0;
        GridRun run;
        std::string how;
    };

    int64_t clockMillis() const;
    platform::HttpResponse carryOut(const platform::HttpRequest&);
    platform::HttpResponse start(const std::string& body);
    void finish(const GridRun&, const std::string& how);
    void extendLease(int64_t endMillis);
    void checkLease();
    void acknowledge(uint64_t through);
    void list(SteadyTime until, uint64_t life, const std::shared_ptr<platform::HttpResponder>& respond);

    boost::asio::io_context& m_io;
    std::string m_id;
    GridObserver& m_observer;
    std::mt19937_64 m_random;
    double m_lateShare = 0;
    bool m_isFailing = false;
    int64_t m_maxLeaseMillis = 6000;

    uint64_t m_life = 0;
    int64_t m_born = 0;
    SteadyTime m_begun;
    uint64_t m_fence = 0;
    int64_t m_leaseEnd = 0;
    /** With the serial number that tells the runs of one name apart. */
    absl::btree_map<GridRun, uint64_t> m_runs;
    absl::btree_map<std::string, uint32_t> m_highestOver;
    std::vector<End> m_ended;
    uint64_t m_sequence = 0;
    uint64_t m_serial = 0;
};

} // namespace cicada::test
