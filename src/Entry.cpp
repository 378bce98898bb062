#include "Entry.h"

#include "ConfigWatch.h"
#include "ExecutorHealth.h"
#include "Frontend.h"
#include "Guardianship.h"
#include "HttpStore.h"
#include "HttpWorkerClient.h"
#include "JobRoutes.h"
#include "JobService.h"
#include "Membership.h"
#include "OwnershipTable.h"
#include "ProfileRoutes.h"
#include "StatusRoutes.h"
#include "StopRoutes.h"
#include "TcpPeerBus.h"
#include "Uuid.h"
#include "VmListWatcher.h"

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"

#include <glog/logging.h>

#include <csignal>
#include <unistd.h>

namespace cicada {

namespace {

    constexpr size_t maxQueuedTasks = 65536;
    /** How long a stopping entry keeps answering, so that the balancer and callers with open connections notice. */
    constexpr absl::Duration stopNoticePeriod = absl::Seconds(1);
    constexpr absl::Duration stopPollInterval = absl::Milliseconds(20);
    /** How long a planned stop tries to hand over; after that the other entries treat this one as failed. */
    constexpr absl::Duration handoverTimeout = absl::Seconds(5);

    uint64_t randomIncarnation()
    {
        // Any number that no other incarnation has; limited to 53 bits because JSON readers keep only those exactly.
        constexpr uint64_t maxIncarnation = (1ULL << 53) - 1;
        static absl::BitGen random;
        return absl::Uniform<uint64_t>(absl::IntervalClosed, random, 1, maxIncarnation);
    }

} // namespace

/** The parts, each declared after those that it depends on. */
struct Entry::Parts {
    explicit Parts(Settings given)
        : settings(std::move(given))
    {
    }

    Settings settings;
    SystemClock clock;
    Metrics metrics;
    BackEnds backEnds;
    ServiceRegistry services;
    EventLoop* loop = nullptr;
    HttpStore* store = nullptr;
    TcpPeerBus* peers = nullptr;
    SpanWriter* spans = nullptr;
    HttpExecutorProbe* probe = nullptr;
    Frontend* frontend = nullptr;
    std::unique_ptr<ConfigWatch> watch;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<Authority> authority;
    std::unique_ptr<Guardianship> guardianship;
    std::unique_ptr<OwnershipTable> ownership;
    std::unique_ptr<SlotLedger> ledger;
    std::unique_ptr<ExecutorHealth> health;
    std::unique_ptr<Dispatcher> dispatcher;
    std::unique_ptr<PlannedStopRegistry> stops;
    std::unique_ptr<ProfileRegistry> profiles;
    std::unique_ptr<Journal> journal;
    std::unique_ptr<ClaimsHome> claimsHome;
    std::unique_ptr<ClaimsClient> claims;
    std::unique_ptr<ClaimsExecutors> executors;
    std::unique_ptr<RequestHandler> handler;
    HttpWorkerClient* workers = nullptr;
    std::unique_ptr<JobService> jobs;
};

namespace {

    /** The work in flight that a planned stop waits for, as far as this entry accounts for it. */
    template <typename Parts> std::optional<uint64_t> remainingWork(const Parts& p, const PlannedStop& stop)
    {
        if (stop.kind == StopKind::Entry) {
            if (stop.target != p.settings.name)
                return std::nullopt;
            return p.frontend->inFlight();
        }
        std::optional<uint64_t> remaining;
        for (const BackEnd& backEnd : p.backEnds.all()) {
            const bool isTarget = stop.target == (stop.kind == StopKind::Rack ? backEnd.rack : backEnd.name);
            if (isTarget && p.ownership->term(backEnd.group()))
                remaining = remaining.value_or(0) + p.ledger->inUse(backEnd.name)
                    + p.jobs->racks().fleet().activeRuns(backEnd.name);
        }
        return remaining;
    }

    /** Adds a service to the registry and sets `pointer` to it. */
    template <typename T> Result<void> addService(ServiceRegistry& services, std::unique_ptr<T> service, T*& pointer)
    {
        pointer = service.get();
        return services.add(std::move(service));
    }

    /** Creates the parts that at-most-once requests need. */
    template <typename Parts> void addClaims(Parts& p)
    {
        const Settings& s = p.settings;
        const std::string incarnation = randomUuid();
        p.journal
            = std::make_unique<Journal>(*p.store, p.clock, absl::StrCat(s.name, "-", incarnation), s.claimRetention);
        p.claimsHome = std::make_unique<ClaimsHome>(*p.store, *p.journal, *p.ownership, p.clock, s.claimRetention);
        p.claims = std::make_unique<ClaimsClient>(s.name, std::hash<std::string>()(incarnation), *p.claimsHome,
            *p.peers, *p.ownership, p.clock, s.claimRetention);
        p.executors = std::make_unique<ClaimsExecutors>(p.backEnds, p.clock, s.claimRetention);
    }

} // namespace

std::unique_ptr<JobService> Entry::makeJobs(Parts& p)
{
    const auto lookUp = [&p](const std::string& name) {
        const ProfileRecord* record = p.profiles->find(name);
        return record ? &record->profile : nullptr;
    };
    const uint64_t session = absl::Uniform<uint64_t>(absl::BitGen());
    return std::make_unique<JobService>(
        JobService::Parts { p.settings.name, *p.store, *p.peers, *p.ownership, p.backEnds, p.clock, *p.watch,
            *p.workers, p.settings.clockDriftBound, session, "best-fit",
            [&p](const BackEnd& backEnd) { return p.stops->isPlanned(backEnd); } },
        lookUp);
}

Result<std::unique_ptr<Entry>> Entry::create(Settings settings)
{
    auto parts = std::make_unique<Parts>(std::move(settings));
    Parts& p = *parts;
    const Settings& s = p.settings;
    BOOST_OUTCOME_TRY(addService(p.services, std::make_unique<SpanWriter>(s.spanOutput, s.name), p.spans));
    BOOST_OUTCOME_TRY(addService(p.services, std::make_unique<EventLoop>(p.clock, maxQueuedTasks), p.loop));
    BOOST_OUTCOME_TRY(addService(p.services, std::make_unique<HttpStore>(s.store, *p.loop), p.store));
    BOOST_OUTCOME_TRY(
        addService(p.services, std::make_unique<TcpPeerBus>(s.name, s.region, s.peers, p.clock, *p.loop), p.peers));
    BOOST_OUTCOME_TRY(addService(p.services, std::make_unique<HttpExecutorProbe>(*p.loop), p.probe));
    VmListWatcher* vmList = nullptr;
    BOOST_OUTCOME_TRY(addService(p.services, std::make_unique<VmListWatcher>(s.vmList, *p.loop, p.backEnds), vmList));
    p.watch = std::make_unique<ConfigWatch>(*p.store);
    p.membership = std::make_unique<Membership>(*p.peers, *p.watch);
    p.authority = std::make_unique<Authority>(
        s, *p.store, *p.peers, *p.membership, *p.watch, p.clock, [] { return randomIncarnation(); });
    p.guardianship
        = std::make_unique<Guardianship>(s, *p.store, *p.peers, *p.membership, *p.watch, p.clock, *p.authority);
    p.ownership
        = std::make_unique<OwnershipTable>(s, *p.store, *p.membership, *p.watch, p.backEnds, p.clock, *p.authority);
    p.ledger = std::make_unique<SlotLedger>(p.backEnds, *p.ownership, p.clock);
    p.dispatcher = std::make_unique<Dispatcher>(s.name, p.backEnds, *p.ledger, *p.peers, p.clock, s.maxQueuedRequests,
        DispatcherOptions { s.region, *policyOptions(s.policy), std::hash<std::string> {}(s.name) });
    p.stops = std::make_unique<PlannedStopRegistry>(
        PlannedStopRegistry::Parts { s, *p.store, *p.peers, *p.watch, p.backEnds, p.clock,
            [&p](const PlannedStop& stop) { return remainingWork(p, stop); }, [] { kill(getpid(), SIGTERM); } });
    p.health = std::make_unique<ExecutorHealth>(ExecutorHealth::Parts { p.backEnds, *p.ownership, *p.ledger, *p.probe,
        p.clock, [&p](const BackEnd& backEnd) { return p.stops->isPlanned(backEnd); },
        [&p] { p.dispatcher->dispatchAll(); } });
    p.profiles = std::make_unique<ProfileRegistry>(*p.store, *p.peers, *p.watch, p.clock);
    BOOST_OUTCOME_TRY(addService(p.services, std::make_unique<HttpWorkerClient>(*p.loop), p.workers));
    p.jobs = makeJobs(p);
    addClaims(p);
    p.handler = std::make_unique<RequestHandler>(RequestHandler::Parts {
        *p.loop, p.clock, *p.profiles, *p.dispatcher, *p.spans, p.metrics, *p.claims, *p.executors });
    BOOST_OUTCOME_TRY(addService(p.services, std::make_unique<Frontend>(s, *p.handler), p.frontend));
    addStopRoutes(*p.frontend, *p.loop, *p.stops);
    addProfileRoutes(*p.frontend, *p.loop, *p.profiles, *p.dispatcher);
    addJobRoutes(*p.frontend, *p.loop, *p.profiles, p.jobs->directory());
    addStatusRoutes(*p.frontend,
        { s, *p.loop, *p.membership, *p.authority, p.clock, *p.ownership, *p.ledger, p.backEnds, *p.health,
            *p.dispatcher, *p.profiles, *p.store, *p.peers, p.metrics });
    p.loop->onTick([&p](Instant now) {
        p.authority->tick(now);
        p.guardianship->tick(now);
        p.ownership->tick(now);
        p.dispatcher->tick(now);
        p.profiles->tick(now);
        p.journal->tick(now);
        p.claimsHome->tick(now);
        p.claims->tick(now);
        p.stops->tick(now);
        p.health->tick(now);
        p.jobs->tick(now);
        p.frontend->setReady(p.authority->registered() && p.profiles->version() > 0);
    });
    return std::unique_ptr<Entry>(new Entry(std::move(parts)));
}

Entry::Entry(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts))
{
}

Entry::~Entry()
{
    // The services' threads use the parts, so they are stopped first.
    m_parts->services.stop();
}

Result<void> Entry::start()
{
    Parts& p = *m_parts;
    BOOST_OUTCOME_TRY(p.services.start());
    p.loop->postBlocking([&p] { p.watch->start(); });
    return success();
}

void Entry::stop()
{
    Parts& p = *m_parts;
    p.frontend->setStopping();
    const Instant startedAt = p.clock.now();
    const auto mustWait = [&] {
        const absl::Duration passed = p.clock.now() - startedAt;
        return passed < stopNoticePeriod || (p.frontend->inFlight() > 0 && passed < p.settings.stopTimeout);
    };
    while (mustWait())
        absl::SleepFor(stopPollInterval);
    LOG(INFO) << "stopping with " << p.frontend->inFlight() << " requests in flight";
    handOver();
    p.services.stop();
}

void Entry::handOver()
{
    Parts& p = *m_parts;
    p.loop->call([&p] { p.ownership->leave(); });
    const Instant deadline = p.clock.now() + handoverTimeout;
    bool left = false;
    size_t remaining = 0;
    while (!left && p.clock.now() < deadline) {
        absl::SleepFor(stopPollInterval);
        p.loop->call([&] {
            left = p.ownership->left();
            remaining = p.ownership->groupsToHandOver();
        });
    }
    LOG_IF(WARNING, !left) << "stopping with " << remaining << " back-end groups that were not handed over";
}

} // namespace cicada
