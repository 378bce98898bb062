/** \file
 * A randomized soak of the real daemon as processes on one machine. Faults come from outside of them, in series and
 * overlapping: links through loopback proxies, signals, a store and executors that misbehave. A seed fixes what happens
 * and when it is begun; the promises are judged while it runs, and at its end every accepted job must have ended.
 */

#include "CommandLine.h"
#include "FaultProxy.h"
#include "Grid.h"
#include "NodeProcess.h"
#include "SoakCallers.h"

#include "absl/strings/str_cat.h"

#include <csignal>
#include <filesystem>
#include <getopt.h>
#include <iostream>

namespace {

using namespace cicada;
using namespace cicada::test;

constexpr const char* program = "cicada-soak";
constexpr const char* usage = R"(Usage: cicada-soak --node PROGRAM [options]

Plays faults against cicada-node as processes and judges its promises. Prints what was broken.

  -n, --node PROGRAM    the daemon
  -f, --first SEED      the first seed (default 1)
  -c, --count N         how many seeds, one after the other (default 1)
  -s, --seconds N       how long faults come, for each seed (default 20)
  -e, --entries N       processes of the daemon (default 4)
  -x, --executors N     executors (default 12)
  -l, --cells N         cells; with several, whole racks are lost and restarts are listed late (default 1)
  -a, --accounts        callers have keys of client accounts, one of them with a limit; some keys are unknown
  -u, --cuts            executors are cut off from the entries and the store for longer than a lease, in series, and some
                        restart meanwhile; leases, reports and cuts of odd seeds take half as long
  -d, --deadly          some tasks crash each executor that starts them
  -p, --port N          the first of the loopback ports that are used (default 20000)
  -k, --keep FOLDER     where logs go and stay (default: a folder that is removed when all is well)
  -h, --help            print this text
)";
constexpr const char* host = "127.0.0.1";
/** Everything must have ended so long after the last fault: a lease, a takeover, and the work itself many times over.
 */
constexpr absl::Duration settleLimit = absl::Seconds(60);
constexpr int portsOfNode = 10;
/** As many workers as the daemon gives to a cell for each processor of its owner. */
constexpr double workersPerProcessor = 800;
constexpr double defaultShare = 0.25;
/** Of the users' platform: the longest lease, and the interval at which executors report to the store. */
constexpr absl::Duration maxLease = absl::Seconds(6);
constexpr absl::Duration reportInterval = absl::Milliseconds(1500);
/** Where executors are cut off, tasks work for long enough to be hit again, and come seldom enough to find some room.
 */
constexpr absl::Duration minWorkBesideCuts = absl::Seconds(4);
constexpr absl::Duration maxWorkBesideCuts = absl::Seconds(12);
constexpr absl::Duration minPauseBesideCuts = absl::Milliseconds(400);
/** So many crashes under one task end its job, whatever else ran there. */
constexpr uint32_t maxCrashesUnderSoundTasks = 3;
/** Keeps rounding from adding a cell. */
constexpr double shareMargin = 1.001;

struct Options {
    std::string node;
    uint64_t firstSeed = 1;
    int64_t seeds = 1;
    absl::Duration length = absl::Seconds(20);
    size_t entries = 4;
    int executors = 12;
    int cells = 1;
    bool hasAccounts = false;
    bool hasDeadlyJobs = false;
    bool hasCuts = false;
    uint16_t port = 20000;
    std::string folder;
};

/** One run of one seed. */
class Soak final {
public:
    Soak(const Options& options, uint64_t seed)
        : m_options(options)
        , m_random(seed)
        , m_judge(m_clock)
        , m_seed(seed)
        , m_pace(options.hasCuts ? 1 + static_cast<int64_t>(seed % 2) : 1)
        , m_cuts(static_cast<size_t>(options.executors))
    {
    }

    Result<void> setUp();
    void run();
    const std::vector<std::string>& violations() const { return m_judge.violations(); }
    std::string summary() const;

private:
    /** Of one executor from everything. */
    struct Cut {
        bool isOpen = false;
        bool hasRestarted = false;
    };

    uint16_t port(int offset) const { return static_cast<uint16_t>(m_options.port + offset); }
    int nodeOffset(size_t node) const { return 3 * m_options.executors + 10 + static_cast<int>(node) * portsOfNode; }
    Result<void> addProxy(int listen, int target);
    void play(absl::Duration length);
    void nextFault();
    void strike();
    void harmLink(FaultProxy& proxy);
    void signalNode(size_t node);
    void restart(size_t node);
    void keepAlive();
    void harmStore();
    /** The entries of executors that can't report for so long are gone when it is over. */
    void silenceStore();
    void harmExecutor(size_t executor);
    void loseRack(size_t rack);
    /** Any link; beside cuts only those of entries, as the executors' are cut by nextCut(). */
    FaultProxy& anyLink();
    void nextCut();
    void cutOff(size_t executor, absl::Duration length);
    void restartBehindCut(size_t executor);
    void reconnect(size_t executor);
    void restartExecutor(size_t number);
    /** A time that the seed's pace shortens. */
    absl::Duration paced(int64_t minMillis, int64_t maxMillis)
    {
        return between(minMillis / m_pace, maxMillis / m_pace);
    }
    /** The executor crashes soon, and is back after some seconds. */
    void crashExecutor(const std::string& id);
    void endFaults();
    absl::Duration between(int64_t minMillis, int64_t maxMillis)
    {
        return absl::Milliseconds(std::uniform_int_distribution<int64_t>(minMillis, maxMillis)(m_random));
    }
    void note(const std::string& what)
    {
        std::cout << absl::StrCat("  ", absl::ToInt64Milliseconds(m_clock.now() - m_begun), " ms ", what, "\n");
    }

    const Options& m_options;
    std::mt19937_64 m_random;
    SystemClock m_clock;
    boost::asio::io_context m_io { 1 };
    SoakJudge m_judge;
    const uint64_t m_seed;
    Instant m_begun = m_clock.now();
    std::unique_ptr<Grid> m_grid;
    std::vector<std::unique_ptr<FaultProxy>> m_proxies;
    std::vector<std::unique_ptr<NodeProcess>> m_nodes;
    std::unique_ptr<SoakCallers> m_callers;
    bool m_isCalm = false;
    /** How many times faster than the users' platform everything with a lease goes. */
    const int64_t m_pace;
    /** By executor. */
    std::vector<Cut> m_cuts;
    size_t m_newIds = 0;
};

Result<void> Soak::addProxy(int listen, int target)
{
    m_proxies.push_back(
        std::make_unique<FaultProxy>(m_io, Endpoint { host, port(listen) }, Endpoint { host, port(target) }));
    return m_proxies.back()->start();
}

Result<void> Soak::setUp()
{
    const int executors = m_options.executors;
    GridLayout layout;
    layout.storePort = port(0);
    layout.advisorPort = port(1);
    layout.firstExecutorPort = port(10);
    layout.executors = executors;
    layout.registeredOffset = executors;
    layout.seed = m_seed;
    // The limit of the first one binds.
    if (m_options.hasAccounts)
        layout.accounts = { { "a", "key-a", GridLayout::cpuMillis }, { "b", "key-b" } };
    m_judge.setAccounts(layout.accounts);
    BOOST_OUTCOME_TRY(grid, Grid::create(m_io, layout, m_judge));
    m_grid = std::move(grid);
    for (int i = 0; i < executors; ++i) {
        BOOST_OUTCOME_TRY(addProxy(10 + executors + i, 10 + i));
    }
    std::vector<Endpoint> addresses;
    for (size_t i = 0; i < m_options.entries; ++i) {
        const int offset = nodeOffset(i);
        BOOST_OUTCOME_TRY(addProxy(offset + 4, offset + 2));
        BOOST_OUTCOME_TRY(addProxy(offset + 5, 0));
        NodePlan plan { m_options.node, m_options.folder, absl::StrCat("s", m_seed, "-e", i), host, port(offset),
            port(offset + 4), port(offset + 5), port(1),
            m_options.cells == 1 ? defaultShare : executors / workersPerProcessor / m_options.cells * shareMargin,
            maxLease / m_pace };
        m_nodes.push_back(std::make_unique<NodeProcess>(std::move(plan)));
        BOOST_OUTCOME_TRY(m_nodes.back()->start());
        addresses.push_back({ host, port(offset) });
    }
    m_callers = std::make_unique<SoakCallers>(m_io, m_clock, m_judge, std::move(addresses), m_seed + 1);
    if (m_options.hasDeadlyJobs)
        m_callers->addDeadlyJobs();
    if (m_options.hasCuts) {
        m_callers->setLoad(minWorkBesideCuts / m_pace, maxWorkBesideCuts / m_pace, minPauseBesideCuts / m_pace);
        m_judge.allowCrashesUnderSoundTasks(maxCrashesUnderSoundTasks);
        m_grid->startReports(reportInterval / m_pace);
        for (const auto& executor : m_grid->executors())
            executor->setMaxLease(maxLease / m_pace);
    }
    m_judge.setOnDeadlyStart([this](const std::string& executor) { crashExecutor(executor); });
    return success();
}

void Soak::play(absl::Duration length) { m_io.run_for(std::chrono::milliseconds(absl::ToInt64Milliseconds(length))); }

void Soak::run()
{
    constexpr absl::Duration lead = absl::Seconds(3);
    m_begun = m_clock.now();
    keepAlive();
    play(lead);
    m_callers->start();
    nextFault();
    if (m_options.hasCuts)
        nextCut();
    play(m_options.length);
    endFaults();
    m_callers->stop();
    const Instant healedAt = m_clock.now();
    while (m_clock.now() - healedAt < settleLimit && (m_callers->handingIn() > 0 || !m_judge.openJobs().empty()))
        play(absl::Milliseconds(200));
    for (const std::string& id : m_judge.openJobs())
        m_judge.violate(absl::StrCat("accepted job ", id, " has not ended"));
    for (const auto& node : m_nodes) {
        if (node->ownEnds() > 0)
            m_judge.violate(absl::StrCat(node->plan().name, " ended by itself ", node->ownEnds(), " times"));
    }
}

std::string Soak::summary() const
{
    size_t accepted = 0;
    size_t refused = 0;
    for (const auto& [id, job] : m_judge.jobs()) {
        accepted += job.isAccepted ? 1 : 0;
        refused += job.isRefused ? 1 : 0;
    }
    return absl::StrCat(
        m_judge.jobs().size(), " jobs, ", accepted, " accepted, ", refused, " refused, ", m_judge.starts(), " starts");
}

void Soak::nextFault()
{
    if (m_isCalm)
        return;
    strike();
    // Beside cuts entries are left alone for long enough to conclude something.
    const int64_t pauses = m_options.hasCuts ? 3 : 1;
    later(m_io, between(150, 1600) * pauses, [this] { nextFault(); });
}

void Soak::strike()
{
    const size_t node = m_random() % m_nodes.size();
    const size_t executor = m_random() % m_grid->executors().size();
    if (m_options.cells > 1 && m_random() % 5 == 0)
        return loseRack(m_random() % GridLayout::racks);
    switch (m_random() % 10) {
    case 0:
    case 1:
        return signalNode(node);
    case 2:
    case 3:
    case 4:
        return harmLink(anyLink());
    case 5:
        // The links of one entry: to its peers and to the store.
        harmLink(*m_proxies[m_grid->executors().size() + 2 * node]);
        return harmLink(*m_proxies[m_grid->executors().size() + 2 * node + 1]);
    case 6:
    case 7:
        return harmStore();
    case 8:
        return harmExecutor(executor);
    default:
        note("a new configuration");
        m_grid->configure();
    }
}

FaultProxy& Soak::anyLink()
{
    const size_t first = m_options.hasCuts ? m_grid->executors().size() : 0;
    return *m_proxies[first + m_random() % (m_proxies.size() - first)];
}

void Soak::harmLink(FaultProxy& proxy)
{
    const auto kind = m_random() % 6;
    const absl::Duration length = between(300, 5000);
    const auto number = std::find_if(m_proxies.begin(), m_proxies.end(), [&](const auto& p) {
        return p.get() == &proxy;
    }) - m_proxies.begin();
    note(absl::StrCat("link ", number, " kind ", kind, " for ", absl::ToInt64Milliseconds(length), " ms"));
    if (kind == 0)
        return proxy.reset();
    if (kind == 1)
        return proxy.silence();
    if (kind == 2)
        proxy.setDelay(between(50, 800));
    else
        proxy.cut(kind != 3, kind != 4);
    later(m_io, length, [&proxy] { proxy.heal(); });
}

void Soak::signalNode(size_t number)
{
    NodeProcess& node = *m_nodes[number];
    const auto kind = m_random() % 6;
    const absl::Duration length = between(200, 5000);
    note(absl::StrCat("entry ", number, " signal kind ", kind, " for ", absl::ToInt64Milliseconds(length), " ms"));
    switch (kind) {
    case 0:
    case 1:
        node.kill();
        return later(m_io, between(0, 2000), [this, number] { restart(number); });
    case 2:
        node.expectEnd();
        return node.signal(SIGTERM);
    case 3:
        return node.signal(SIGHUP);
    case 4:
        for (const auto& each : m_nodes)
            each->kill();
        return later(m_io, between(0, 2000), [this] {
            for (size_t i = 0; i < m_nodes.size(); ++i)
                restart(i);
        });
    default:
        node.signal(SIGSTOP);
        later(m_io, length, [&node] { node.signal(SIGCONT); });
    }
}

void Soak::restart(size_t number)
{
    NodeProcess& node = *m_nodes[number];
    if (node.isRunning())
        return;
    auto started = node.start();
    if (!started)
        m_judge.violate(describe(started.error()));
}

void Soak::keepAlive()
{
    // An entry that has stopped as planned comes back, as the platform's would.
    for (size_t i = 0; i < m_nodes.size(); ++i) {
        if (!m_nodes[i]->isRunning())
            restart(i);
    }
    later(m_io, absl::Milliseconds(500), [this] { keepAlive(); });
}

void Soak::harmStore()
{
    constexpr std::pair<GridStoreMood, const char*> moods[]
        = { { GridStoreMood::Refuses, "refuses" }, { GridStoreMood::LosesReplies, "loses replies" },
              { GridStoreMood::WritesLate, "writes late" }, { GridStoreMood::Slow, "is slow" } };
    if (m_options.hasCuts && m_random() % 2 == 0)
        return silenceStore();
    const auto kind = m_random() % 5;
    if (kind == 4) {
        note("the store drops its history");
        return m_grid->store().dropHistory();
    }
    const absl::Duration length = between(300, 5000);
    note(absl::StrCat("the store ", moods[kind].second, " for ", absl::ToInt64Milliseconds(length), " ms"));
    m_grid->store().setMood(moods[kind].first);
    later(m_io, length, [this] { m_grid->store().setMood(GridStoreMood::Well); });
}

void Soak::silenceStore()
{
    const absl::Duration length = paced(2000, 10000);
    note(absl::StrCat("the store is silent for ", absl::ToInt64Milliseconds(length), " ms"));
    m_grid->store().setMood(GridStoreMood::Silent);
    later(m_io, length, [this] { m_grid->store().setMood(GridStoreMood::Well); });
}

void Soak::harmExecutor(size_t number)
{
    GridExecutor& executor = *m_grid->executors()[number];
    const auto kind = m_random() % 4;
    const absl::Duration length = between(500, 5000);
    note(absl::StrCat("executor ", number, " kind ", kind, " for ", absl::ToInt64Milliseconds(length), " ms"));
    switch (kind) {
    case 0:
        return restartExecutor(number);
    case 1:
        executor.setLateShare(0.2);
        return later(m_io, length, [&executor] { executor.setLateShare(0); });
    case 2:
        m_grid->list(number, true);
        return later(m_io, length, [this, number] { m_grid->list(number); });
    default:
        executor.setFailing(true);
        later(m_io, length, [&executor] { executor.setFailing(false); });
    }
}

void Soak::restartExecutor(size_t number)
{
    m_grid->executors()[number]->rebirth();
    if (m_options.hasCuts) {
        // It is listed when it reports. The connections of its former life are gone.
        m_cuts[number].hasRestarted = true;
        return m_proxies[number]->reset();
    }
    if (m_options.cells == 1)
        return m_grid->list(number);
    later(m_io, between(0, 1500), [this, number] { m_grid->list(number); });
}

void Soak::crashExecutor(const std::string& id)
{
    const auto& executors = m_grid->executors();
    const auto found = std::find_if(
        executors.begin(), executors.end(), [&id](const auto& executor) { return executor->id() == id; });
    const auto number = static_cast<size_t>(found - executors.begin());
    later(m_io, between(20, 150), [this, number] {
        note(absl::StrCat("executor ", number, " crashes under a task"));
        m_proxies[number]->cut(true, true);
        restartExecutor(number);
        later(m_io, between(1500, 3000), [this, number] {
            if (!m_cuts[number].isOpen)
                reconnect(number);
        });
    });
}

void Soak::loseRack(size_t rack)
{
    const absl::Duration length = between(2000, 9000);
    note(absl::StrCat("rack ", rack, " is lost for ", absl::ToInt64Milliseconds(length), " ms"));
    for (size_t i = rack; i < m_grid->executors().size(); i += GridLayout::racks) {
        if (m_cuts[i].isOpen)
            continue;
        // The proxies of the executors come first.
        m_proxies[i]->cut(true, true);
        later(m_io, length, [this, i] {
            if (!m_cuts[i].isOpen)
                m_proxies[i]->heal();
        });
    }
}

void Soak::nextCut()
{
    if (m_isCalm)
        return;
    const absl::Duration length = paced(8000, 11000);
    std::string cut;
    for (size_t i = 0; i < m_cuts.size(); ++i) {
        if (m_cuts[i].isOpen || m_random() % 8 >= 5)
            continue;
        absl::StrAppend(&cut, " ", i);
        cutOff(i, length);
    }
    note(absl::StrCat("executors", cut, " are cut off for ", absl::ToInt64Milliseconds(length), " ms"));
    later(m_io, length + paced(100, 1500), [this] { nextCut(); });
}

void Soak::cutOff(size_t number, absl::Duration length)
{
    m_cuts[number].isOpen = true;
    m_proxies[number]->cut(true, true);
    m_grid->setReachesStore(number, false);
    // All leases have ended by then, so the next life is no evidence of a crash under a run.
    if (m_random() % 3 == 0)
        later(m_io, maxLease / m_pace + paced(200, 1800), [this, number] { restartBehindCut(number); });
    later(m_io, length, [this, number] { reconnect(number); });
}

void Soak::restartBehindCut(size_t number)
{
    if (!m_cuts[number].isOpen || m_cuts[number].hasRestarted)
        return;
    const bool hasNewId = m_random() % 2 == 0;
    note(absl::StrCat("executor ", number, " restarts behind the cut", hasNewId ? " under another id" : ""));
    if (!hasNewId)
        return restartExecutor(number);
    m_cuts[number].hasRestarted = true;
    m_grid->executors()[number]->rebirthAs(absl::StrCat("i-", number, "-", ++m_newIds));
}

void Soak::reconnect(size_t number)
{
    // Orders to a former life don't reach the next one.
    if (m_cuts[number].hasRestarted)
        m_proxies[number]->reset();
    m_cuts[number] = {};
    m_proxies[number]->heal();
    m_grid->setReachesStore(number, true);
}

void Soak::endFaults()
{
    m_isCalm = true;
    note("faults end");
    for (size_t i = 0; i < m_cuts.size(); ++i)
        reconnect(i);
    for (const auto& proxy : m_proxies)
        proxy->heal();
    for (const auto& node : m_nodes)
        node->signal(SIGCONT);
    for (const auto& executor : m_grid->executors()) {
        executor->setLateShare(0);
        executor->setFailing(false);
    }
    m_grid->store().setMood(GridStoreMood::Well);
}

bool playSeed(const Options& options, uint64_t seed)
{
    std::cout << "seed " << seed << std::endl;
    Soak soak(options, seed);
    auto isUp = soak.setUp();
    if (!isUp) {
        std::cout << "seed " << seed << ": " << describe(isUp.error()) << std::endl;
        return false;
    }
    soak.run();
    for (const std::string& what : soak.violations())
        std::cout << "seed " << seed << ": " << what << "\n";
    std::cout << "seed " << seed << ": " << soak.summary() << (soak.violations().empty() ? ", kept" : ", BROKEN")
              << std::endl;
    return soak.violations().empty();
}

/** Reads an option that is a number. */
Result<void> readNumber(int name, const char* text, Options& options)
{
    const auto read = [text](const char* option, int64_t least, int64_t most, auto set) -> Result<void> {
        BOOST_OUTCOME_TRY(value, parseNumber(option, text, least, most));
        set(value);
        return success();
    };
    switch (name) {
    case 'f':
        return read("--first", 0, INT64_MAX, [&](int64_t n) { options.firstSeed = static_cast<uint64_t>(n); });
    case 'c':
        return read("--count", 1, 10000, [&](int64_t n) { options.seeds = n; });
    case 's':
        return read("--seconds", 1, 3600, [&](int64_t n) { options.length = absl::Seconds(n); });
    case 'e':
        return read("--entries", 2, 200, [&](int64_t n) { options.entries = static_cast<size_t>(n); });
    case 'l':
        return read("--cells", 1, 100, [&](int64_t n) { options.cells = static_cast<int>(n); });
    case 'x':
        return read("--executors", 1, 500, [&](int64_t n) { options.executors = static_cast<int>(n); });
    default:
        return read("--port", 1024, 60000, [&](int64_t n) { options.port = static_cast<uint16_t>(n); });
    }
}

Result<Options> readOptions(int argc, char** argv)
{
    const option names[] = { { "node", required_argument, nullptr, 'n' }, { "first", required_argument, nullptr, 'f' },
        { "count", required_argument, nullptr, 'c' }, { "seconds", required_argument, nullptr, 's' },
        { "entries", required_argument, nullptr, 'e' }, { "executors", required_argument, nullptr, 'x' },
        { "cells", required_argument, nullptr, 'l' }, { "accounts", no_argument, nullptr, 'a' },
        { "deadly", no_argument, nullptr, 'd' }, { "cuts", no_argument, nullptr, 'u' },
        { "port", required_argument, nullptr, 'p' }, { "keep", required_argument, nullptr, 'k' },
        { "help", no_argument, nullptr, 'h' }, {} };
    Options options;
    bool isWrong = false;
    for (int name; (name = getopt_long(argc, argv, "n:f:c:s:e:x:l:adup:k:h", names, nullptr)) != -1;) {
        if (name == 'n')
            options.node = optarg;
        else if (name == 'k')
            options.folder = optarg;
        else if (name == 'a')
            options.hasAccounts = true;
        else if (name == 'd')
            options.hasDeadlyJobs = true;
        else if (name == 'u')
            options.hasCuts = true;
        else if (name == 'h' || name == '?')
            isWrong = true;
        else {
            BOOST_OUTCOME_TRY(readNumber(name, optarg, options));
        }
    }
    if (isWrong || options.node.empty())
        return Error { ErrorKind::InvalidRequest, "The program of the daemon is not named.", "See the options above." };
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    auto read = readOptions(argc, argv);
    if (!read) {
        std::cerr << usage;
        return reportError(program, read.error(), exitUsage);
    }
    Options& options = read.value();
    std::signal(SIGPIPE, SIG_IGN);
    const bool isKept = !options.folder.empty();
    if (!isKept)
        options.folder = absl::StrCat(
            std::filesystem::temp_directory_path().string(), "/cicada-soak-", options.port, "-", options.firstSeed);
    std::filesystem::create_directories(options.folder);
    int broken = 0;
    for (int64_t i = 0; i < options.seeds; ++i)
        broken += playSeed(options, options.firstSeed + static_cast<uint64_t>(i)) ? 0 : 1;
    std::cout << options.seeds - broken << " passed, " << broken << " failed" << std::endl;
    if (!isKept && broken == 0)
        std::filesystem::remove_all(options.folder);
    return broken == 0 ? exitSuccess : exitFailure;
}
