#include "support/ClaimsWorld.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace cicada::Testing {

namespace {

    constexpr uint64_t requestFingerprint = 7;
    constexpr absl::Duration askTimeout = absl::Milliseconds(200);
    constexpr absl::Duration askInterval = absl::Milliseconds(20);
    constexpr absl::Duration goneAfter = absl::Seconds(5);
    constexpr absl::Duration startValidity = absl::Milliseconds(500);

} // namespace

std::optional<Term> TableOwnership::term(absl::string_view group) const
{
    auto it = m_world.table.find(std::string(group));
    if (it == m_world.table.end() || it->second.owner != m_self)
        return std::nullopt;
    return Term { it->second.epoch, m_clock.now() + absl::Seconds(1) };
}

std::string TableOwnership::owner(absl::string_view group) const
{
    auto it = m_world.table.find(std::string(group));
    return it == m_world.table.end() ? "" : it->second.owner;
}

void TableOwnership::tell(absl::string_view group, uint64_t epoch, bool owned)
{
    for (auto& observer : m_observers)
        observer(group, epoch, owned);
}

ClaimsEntry::ClaimsEntry(ClaimsWorld& world, const std::string& name, uint64_t incarnation, double rate)
    : m_world(world)
    , m_node(world.world.addNode(name, rate))
    , m_ownership(world, name, m_node.clock())
    , m_journal(m_node, m_node.clock(), absl::StrCat(name, "-", incarnation), world.retention)
    , m_home(m_node, m_journal, m_ownership, m_node.clock(), world.retention)
    , m_client(name, incarnation, m_home, m_node, m_ownership, m_node.clock(), world.retention)
{
    m_node.handle("state", [this](absl::string_view, absl::string_view bytes) {
        const std::vector<std::string> parts = absl::StrSplit(std::string(bytes), '|');
        auto it = m_asks.find(std::stoull(parts[0]));
        if (it == m_asks.end())
            return;
        StateCallback callback = std::move(it->second);
        m_asks.erase(it);
        callback(parts[1]);
    });
    m_node.onTick([this](Instant now) { tick(now); });
    for (size_t i = 0; i < world.executors.size(); ++i)
        known.push_back(i);
}

void ClaimsEntry::tick(Instant now)
{
    m_journal.tick(now);
    m_home.tick(now);
    m_client.tick(now);
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        auto task = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        task();
    }
}

void ClaimsEntry::later(absl::Duration delay, std::function<void()> task)
{
    m_timers.emplace(m_node.clock().now() + delay, std::move(task));
}

void ClaimsEntry::ask(const std::string& executor, const std::string& question, StateCallback callback)
{
    const uint64_t number = m_nextAsk++;
    m_asks[number] = std::move(callback);
    m_node.send(executor, "run", absl::StrCat(number, "|", question));
    later(askTimeout, [this, number] {
        auto it = m_asks.find(number);
        if (it == m_asks.end())
            return;
        StateCallback late = std::move(it->second);
        m_asks.erase(it);
        late("");
    });
}

void ClaimsEntry::begin(const RequestPtr& request, const Profile& profile)
{
    request->settlement.emplace(request->id, profile, m_node.clock().now());
    step(request);
}

void ClaimsEntry::claimOnly(const std::string& id, std::function<void()> granted)
{
    const Instant giveUp = m_node.clock().now() + m_world.profile.maxWait;
    m_client.claim({ id, requestFingerprint, 0, giveUp, m_world.profile.maxWait },
        [this, granted = std::move(granted)](const ClaimResult& verdict) {
            if (verdict.kind != ClaimResult::Kind::Granted)
                return;
            m_client.closed(verdict.token);
            granted();
        });
}

void ClaimsEntry::step(const RequestPtr& request)
{
    Settlement& settlement = *request->settlement;
    const Step step = settlement.step();
    const auto now = [this] { return m_node.clock().now(); };
    switch (step.kind) {
    case StepKind::Claim:
        return claim(request);
    case StepKind::Locate:
        return m_client.locate(request->id, step.held, [this, request, now](const Location& location) {
            request->settlement->located(location, now());
            this->step(request);
        });
    case StepKind::Place:
        return place(request);
    case StepKind::Run:
        return run(request);
    case StepKind::Join:
        return follow(request, m_world.nameOf(step.address), step.runId, false, now(), false);
    case StepKind::Scan:
        return sweep(request);
    case StepKind::Wait:
        return later(step.until - now(), [this, request, now] {
            request->settlement->waited(now());
            this->step(request);
        });
    case StepKind::Done:
        request->verdict = settlement.result();
        request->answeredAt = m_world.world.now();
        if (settlement.token() == 0)
            return;
        if (settlement.result().outcome == Outcome::NotRun)
            m_client.closed(settlement.token());
        else
            m_client.ended(settlement.token());
    }
}

void ClaimsEntry::claim(const RequestPtr& request)
{
    const Step& step = request->settlement->step();
    const ClaimSpec spec { request->id, requestFingerprint, step.supersedes, step.until, m_world.profile.maxWait };
    m_client.claim(spec, [this, request](const ClaimResult& verdict) {
        request->settlement->claimed(verdict, m_node.clock().now());
        this->step(request);
    });
}

void ClaimsEntry::place(const RequestPtr& request)
{
    auto& random = m_world.world.random();
    const auto wait = absl::Microseconds(random() % static_cast<uint64_t>(absl::ToInt64Microseconds(maxQueueing) + 1));
    later(queueing + wait, [this, request, &random] {
        const size_t executor = known[random() % known.size()];
        StartGrant grant;
        grant.executor = absl::StrCat("x", executor);
        grant.address = { "10.0.0.1", static_cast<uint16_t>(executor + 1) };
        grant.startBy = m_node.clock().now() + startValidity;
        const uint64_t token = request->settlement->token();
        m_client.placed(token, grant.address);
        request->settlement->placed(grant, m_client.startUntil(token));
        step(request);
    });
}

void ClaimsEntry::run(const RequestPtr& request)
{
    const Step step = request->settlement->step();
    if (m_node.clock().now() >= step.grant.startBy)
        return ended(request, RunEnd::NotStarted, true);
    const std::string& executor = step.grant.executor;
    const Instant since = m_node.clock().now();
    ask(executor, absl::StrCat("put|", step.runId, "|", request->number),
        [this, request, executor, runId = step.runId, since](const std::string& state) {
            if (state == "refused")
                return ended(request, RunEnd::Refused, true);
            follow(request, executor, runId, true, since, false);
        });
}

void ClaimsEntry::follow(const RequestPtr& request, const std::string& executor, const std::string& runId, bool own,
    Instant since, bool stopUnstarted)
{
    ask(executor, absl::StrCat(stopUnstarted ? "stop|" : "get|", runId), [=, this](const std::string& state) {
        const Instant now = m_node.clock().now();
        if (state == "done")
            return ended(request, RunEnd::Answered, own);
        if (state == "stopped")
            return ended(request, stopUnstarted ? RunEnd::NotStarted : RunEnd::Refused, own);
        if (state == "never" && !own)
            return ended(request, RunEnd::NotStarted, own);
        if (state.empty() && now - since > goneAfter)
            return ended(request, RunEnd::Unknown, own);
        const Instant heard = state.empty() ? since : now;
        later(askInterval,
            [=, this] { follow(request, executor, runId, own, heard, stopUnstarted || state == "never"); });
    });
}

void ClaimsEntry::ended(const RequestPtr& request, RunEnd end, bool own)
{
    RunResult result;
    result.end = end;
    const Instant now = m_node.clock().now();
    if (own && end == RunEnd::NotStarted)
        m_client.notStarted(request->settlement->token());
    if (own)
        request->settlement->ran(std::move(result), true, now);
    else
        request->settlement->joined(std::move(result), now);
    step(request);
}

void ClaimsEntry::sweep(const RequestPtr& request)
{
    struct Sweep {
        size_t open = 0;
        size_t unsettled = 0;
        std::optional<Endpoint> found;
    };
    auto sweep = std::make_shared<Sweep>();
    sweep->open = known.size();
    const Instant startedAt = m_node.clock().now();
    for (const size_t i : known) {
        ask(absl::StrCat("x", i), absl::StrCat("stop|", request->settlement->step().runId),
            [=, this](const std::string& state) {
                if (state == "running" || state == "done")
                    sweep->found = Endpoint { "10.0.0.1", static_cast<uint16_t>(i + 1) };
                else if (state != "stopped")
                    ++sweep->unsettled;
                if (--sweep->open > 0)
                    return;
                ScanResult result;
                if (sweep->found)
                    result = { ScanResult::Kind::Found, *sweep->found };
                else if (sweep->unsettled == 0)
                    result.kind = ScanResult::Kind::NeverStarts;
                request->settlement->scanned(result, startedAt, m_node.clock().now());
                step(request);
            });
    }
}

ClaimsExecutor::ClaimsExecutor(ClaimsWorld& world, const std::string& name)
    : m_world(world)
    , m_node(world.world.addNode(name))
{
    m_node.handle("run", [this](absl::string_view from, absl::string_view bytes) { answer(from, bytes); });
}

void ClaimsExecutor::answer(absl::string_view from, absl::string_view bytes)
{
    const std::vector<std::string> parts = absl::StrSplit(std::string(bytes), '|');
    const std::string& runId = parts[2];
    const absl::Duration now = m_world.world.now();
    auto it = m_runs.find(runId);
    if (it != m_runs.end() && it->second.state == "running" && now >= it->second.until)
        it->second.state = "done";
    std::string state = it == m_runs.end() ? "never" : it->second.state;
    if (parts[1] == "stop" && it == m_runs.end()) {
        m_runs[runId] = { "stopped", now };
        state = "stopped";
    } else if (parts[1] == "put" && it != m_runs.end()) {
        state = "refused";
    } else if (parts[1] == "put") {
        m_runs[runId] = { "running", now + m_world.runTime };
        const std::string id = std::vector<std::string>(absl::StrSplit(runId, '.'))[0];
        m_world.startsOfId[id].push_back({ std::stoull(parts[3]), now });
        state = "running";
    }
    m_node.send(from, "state", absl::StrCat(parts[0], "|", state));
}

ClaimsWorld::ClaimsWorld(uint64_t seed, size_t entryCount, size_t executorCount)
    : world(seed)
{
    profile.name = "tally";
    for (size_t i = 0; i < executorCount; ++i)
        executors.push_back(std::make_unique<ClaimsExecutor>(*this, absl::StrCat("x", i)));
    for (size_t i = 0; i < entryCount; ++i)
        entries.push_back(std::make_unique<ClaimsEntry>(
            *this, absl::StrCat("e", i), seed * 100 + i, 0.99 + 0.01 * static_cast<double>(i % 3)));
    for (uint32_t partition = 0; partition < claimPartitions; ++partition) {
        const size_t owner = partition % entryCount;
        table[claimGroup(partition)] = { entries[owner]->node().name(), m_epoch };
        entries[owner]->ownership().tell(claimGroup(partition), m_epoch, true);
    }
}

ClaimsWorld::~ClaimsWorld() = default;

std::string ClaimsWorld::nameOf(const Endpoint& address) const { return absl::StrCat("x", address.port - 1); }

std::shared_ptr<ClaimedRequest> ClaimsWorld::send(size_t entry, const std::string& id)
{
    auto request = std::make_shared<ClaimedRequest>();
    request->id = id;
    request->number = requests.size();
    request->entry = entries[entry]->node().name();
    request->beganAt = world.now();
    requests.push_back(request);
    if (!entries[entry]->dead)
        entries[entry]->begin(request, profile);
    return request;
}

void ClaimsWorld::moveClaims(const std::string& from, const std::string& to)
{
    ++m_epoch;
    for (auto& [group, owned] : table) {
        if (owned.owner != from)
            continue;
        owned = { to, m_epoch };
        for (auto& entry : entries) {
            if (entry->node().name() == from || entry->node().name() == to)
                entry->ownership().tell(group, m_epoch, entry->node().name() == to);
        }
    }
}

void ClaimsWorld::killEntry(size_t entry, size_t successor, absl::Duration after)
{
    world.kill(entries[entry]->node());
    entries[entry]->dead = true;
    const std::string from = entries[entry]->node().name();
    m_killedAt[from] = world.now();
    world.run(after);
    moveClaims(from, entries[successor]->node().name());
}

std::string ClaimsWorld::violations() const
{
    std::string text;
    for (const auto& [id, list] : startsOfId) {
        if (list.size() > 1)
            absl::StrAppend(&text, id, " started ", list.size(), " times; ");
    }
    for (const auto& request : requests) {
        if (!request->verdict || request->verdict->outcome != Outcome::NotRun || !startsOfId.contains(request->id))
            continue;
        for (const Start& start : startsOfId.at(request->id)) {
            const ClaimedRequest& starter = *requests[start.request];
            // An attempt that its caller began later, or that still lived when this one was answered, may run.
            const bool begunLater = starter.beganAt > request->beganAt;
            const bool lived = start.at > request->answeredAt && livedAt(starter.entry, request->answeredAt);
            if (&starter == request.get() || !(begunLater || lived))
                absl::StrAppend(&text, request->id, " was told not-run and started; ");
        }
    }
    return text;
}

bool ClaimsWorld::livedAt(const std::string& entry, absl::Duration at) const
{
    auto it = m_killedAt.find(entry);
    return it == m_killedAt.end() || it->second > at;
}

size_t ClaimsWorld::starts(const std::string& id) const
{
    auto it = startsOfId.find(id);
    return it == startsOfId.end() ? 0 : it->second.size();
}

size_t ClaimsWorld::count(Outcome outcome) const
{
    size_t count = 0;
    for (const auto& request : requests)
        count += request->verdict && request->verdict->outcome == outcome;
    return count;
}

} // namespace cicada::Testing
