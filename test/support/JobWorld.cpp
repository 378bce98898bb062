#include "JobWorld.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace cicada::Testing {

namespace {

    constexpr absl::Duration callTimeout = absl::Seconds(2);
    const Resources workerCapacity { 8000, 16384, 0 };

    std::string withNumber(uint64_t number, const std::string& body) { return absl::StrCat(number, " ", body); }

    std::pair<uint64_t, std::string> splitNumber(absl::string_view bytes)
    {
        const size_t space = bytes.find(' ');
        uint64_t number = 0;
        (void)absl::SimpleAtoi(bytes.substr(0, space), &number);
        return { number, std::string(bytes.substr(space + 1)) };
    }

    WorkerReply toReply(bool replied, absl::string_view bytes)
    {
        if (!replied)
            return WorkerReply::NoReply;
        return bytes == "ok" ? WorkerReply::Done : WorkerReply::Refused;
    }

} // namespace

std::optional<Term> JobOwnership::term(absl::string_view group) const
{
    auto it = m_seen.owners.find(std::string(group));
    if (it == m_seen.owners.end() || it->second != m_name || m_until <= m_clock.now())
        return std::nullopt;
    return Term { m_seen.epochs.at(std::string(group)), m_until };
}

std::string JobOwnership::owner(absl::string_view group) const
{
    auto it = m_seen.owners.find(std::string(group));
    return it == m_seen.owners.end() ? "" : it->second;
}

void JobOwnership::refresh()
{
    m_until = m_clock.now() + termTime;
    if (m_seen.version == m_table.version)
        return;
    const OwnerTable before = m_seen;
    m_seen = m_table;
    for (const auto& [group, owner] : m_seen.owners) {
        auto old = before.owners.find(group);
        const bool wasOwned = old != before.owners.end() && old->second == m_name;
        const bool isOwned = owner == m_name;
        const bool isSame = wasOwned && isOwned && before.epochs.at(group) == m_seen.epochs.at(group);
        if (isSame || (!wasOwned && !isOwned))
            continue;
        for (auto& observer : m_observers)
            observer(group, m_seen.epochs.at(group), isOwned);
    }
}

MessageWorkerClient::MessageWorkerClient(Node& node)
    : m_node(node)
{
    node.handle("worker-reply", [this](absl::string_view, absl::string_view bytes) {
        const auto [number, body] = splitNumber(bytes);
        auto it = m_calls.find(number);
        if (it == m_calls.end())
            return;
        auto callback = std::move(it->second.callback);
        m_calls.erase(it);
        callback(true, body);
    });
}

void MessageWorkerClient::call(const Endpoint& worker, const char* service, const std::string& body,
    absl::AnyInvocable<void(bool, absl::string_view)> callback)
{
    const uint64_t number = ++m_lastCall;
    m_calls[number] = { m_node.clock().now() + callTimeout, std::move(callback) };
    m_node.send(worker.host, service, withNumber(number, body));
}

void MessageWorkerClient::tick(Instant now)
{
    while (!m_calls.empty()) {
        auto it = m_calls.begin();
        if (now < it->second.giveUp)
            return;
        auto callback = std::move(it->second.callback);
        m_calls.erase(it);
        callback(false, "");
    }
}

void MessageWorkerClient::sync(
    const Endpoint& worker, WorkerSync message, absl::AnyInvocable<void(Result<WorkerView>)> callback)
{
    call(worker, "sync", encode(message),
        [callback = std::move(callback)](bool replied, absl::string_view bytes) mutable {
            if (replied)
                callback(decodeWorkerView(bytes));
            else
                callback(Error { ErrorKind::BackEndFailed, "no reply", "" });
        });
}

void MessageWorkerClient::start(
    const Endpoint& worker, WorkerStart message, absl::AnyInvocable<void(WorkerReply)> callback)
{
    call(worker, "start", encode(message),
        [callback = std::move(callback)](
            bool replied, absl::string_view bytes) mutable { callback(toReply(replied, bytes)); });
}

void MessageWorkerClient::stop(
    const Endpoint& worker, WorkerStop message, absl::AnyInvocable<void(WorkerReply)> callback)
{
    call(worker, "stop", encode(message),
        [callback = std::move(callback)](
            bool replied, absl::string_view bytes) mutable { callback(toReply(replied, bytes)); });
}

JobWorld::Entry::Entry(JobWorld& world, const std::string& name, uint64_t session)
    : node(world.m_world.addNode(name))
    , ownership(name, world.m_table, node.clock())
    , client(node)
    , watch(node)
    , jobs({ name, node, node, ownership, backEnds, node.clock(), watch, client, 0.01, session, "best-fit" },
          [&world](const std::string& profile) -> const Profile* {
              for (const Profile& candidate : world.m_profiles) {
                  if (candidate.name == profile)
                      return &candidate;
              }
              return nullptr;
          })
{
    watch.start();
    node.onTick([this](Instant now) {
        ownership.refresh();
        client.tick(now);
        jobs.tick(now);
    });
}

JobWorld::JobWorld(uint64_t seed, size_t entries, size_t workersPerRack)
    : m_world(seed)
{
    for (size_t i = 0; i < entries; ++i) {
        const std::string rack = absl::StrCat("rack/r", i);
        m_table.owners[rack] = absl::StrCat("e", i);
        m_table.epochs[rack] = 1;
    }
    for (uint32_t partition = 0; partition < claimPartitions; ++partition) {
        m_table.owners[claimGroup(partition)] = absl::StrCat("e", partition % entries);
        m_table.epochs[claimGroup(partition)] = 1;
    }
    for (size_t rack = 0; rack < entries; ++rack) {
        for (size_t i = 0; i < workersPerRack; ++i)
            addWorker(rack, rack * workersPerRack + i);
    }
    for (size_t i = 0; i < entries; ++i)
        m_entries.push_back(std::make_unique<Entry>(*this, absl::StrCat("e", i), (seed * 100 + i + 1) << 20));
    std::vector<PeerAddress> peers;
    for (auto& entry : m_entries)
        peers.push_back({ entry->node.name(), "", "r" });
    for (auto& entry : m_entries)
        entry->node.setPeers(peers);
    publishWorkers();
}

void JobWorld::addWorker(size_t rack, size_t index)
{
    const std::string name = absl::StrCat("w", index);
    Worker worker;
    worker.node = &m_world.addNode(name, 1.0 + 0.005 * (static_cast<double>(index % 3) - 1));
    worker.model = std::make_unique<WorkerModel>(name, workerCapacity, 1000 + index);
    WorkerModel* model = worker.model.get();
    Node* node = worker.node;
    model->onChange = [this, name](const RunId& id, bool started) { judge(id, started, name); };
    const auto reply = [node](absl::string_view to, uint64_t number, const std::string& body) {
        node->send(to, "worker-reply", withNumber(number, body));
    };
    node->handle("sync", [=](absl::string_view from, absl::string_view bytes) {
        const auto [number, body] = splitNumber(bytes);
        reply(from, number, encode(model->sync(decodeWorkerSync(body).value(), node->clock().now())));
    });
    node->handle("start", [=](absl::string_view from, absl::string_view bytes) {
        const auto [number, body] = splitNumber(bytes);
        reply(from, number, model->start(decodeWorkerStart(body).value(), node->clock().now()) ? "ok" : "no");
    });
    node->handle("stop", [=](absl::string_view from, absl::string_view bytes) {
        const auto [number, body] = splitNumber(bytes);
        reply(from, number, model->stop(decodeWorkerStop(body).value(), node->clock().now()) ? "ok" : "no");
    });
    node->onTick([model](Instant now) { model->advance(now); });
    m_workers.push_back(std::move(worker));
    BackEnd info;
    info.name = name;
    info.kind = BackEndKind::Worker;
    info.address = { name, 1 };
    info.rack = absl::StrCat("r", rack);
    info.failureDomain = absl::StrCat("d", rack);
    info.capacity = workerCapacity;
    m_list.push_back(info);
}

void JobWorld::publishWorkers()
{
    for (auto& entry : m_entries)
        entry->backEnds.update(m_list);
}

void JobWorld::killEntry(size_t i, absl::Duration takeOver)
{
    m_world.kill(m_entries[i]->node);
    m_entries[i]->isAlive = false;
    m_world.run(takeOver);
    for (size_t to = 0; to < m_entries.size(); ++to) {
        if (m_entries[to]->isAlive)
            return moveAll(i, to);
    }
}

void JobWorld::moveAll(size_t from, size_t to)
{
    ++m_table.version;
    for (auto& [group, owner] : m_table.owners) {
        if (owner != absl::StrCat("e", from))
            continue;
        owner = absl::StrCat("e", to);
        ++m_table.epochs[group];
    }
}

void JobWorld::killWorker(size_t i)
{
    m_world.kill(*m_workers[i].node);
    // Whatever ran there is gone with the VM.
    for (auto& [task, workers] : m_running)
        workers.erase(std::remove(workers.begin(), workers.end(), m_workers[i].model->name()), workers.end());
}

void JobWorld::setLeaving(size_t i)
{
    m_list[i].leaving = true;
    publishWorkers();
}

void JobWorld::judge(const RunId& id, bool started, const std::string& worker)
{
    auto& workers = m_running[{ id.job, id.task }];
    if (!started) {
        auto it = std::find(workers.begin(), workers.end(), worker);
        if (it != workers.end())
            workers.erase(it);
        return;
    }
    ++m_starts[{ id.job, id.task }];
    m_overlaps += !workers.empty();
    workers.push_back(worker);
}

Result<std::string> JobWorld::submit(size_t entry, const std::string& id, const std::string& json, Profile profile)
{
    if (std::none_of(m_profiles.begin(), m_profiles.end(), [&](const Profile& p) { return p.name == profile.name; }))
        m_profiles.push_back(profile);
    BOOST_OUTCOME_TRY(spec, parseJob(id, json));
    auto result = std::make_shared<Result<std::string>>(Error { ErrorKind::DeadlineExceeded, "no answer", "" });
    auto done = std::make_shared<bool>(false);
    m_entries[entry]->jobs.directory().submit(spec, profile, [result, done](Result<std::string> answer) {
        *result = std::move(answer);
        *done = true;
    });
    for (int i = 0; i < 1000 && !*done; ++i)
        m_world.run(absl::Milliseconds(10));
    return *result;
}

Result<std::string> JobWorld::cancel(size_t entry, const std::string& id)
{
    auto result = std::make_shared<Result<std::string>>(Error { ErrorKind::DeadlineExceeded, "no answer", "" });
    auto done = std::make_shared<bool>(false);
    m_entries[entry]->jobs.directory().cancel(id, [result, done](Result<std::string> answer) {
        *result = std::move(answer);
        *done = true;
    });
    for (int i = 0; i < 1000 && !*done; ++i)
        m_world.run(absl::Milliseconds(10));
    return *result;
}

JobRecord JobWorld::stored(const std::string& id)
{
    auto it = m_world.stored().find(jobKey(id));
    if (it == m_world.stored().end())
        return {};
    return decodeRecord(it->second.value).value();
}

bool JobWorld::runUntilEnded(const std::string& id, absl::Duration timeout)
{
    const absl::Duration until = m_world.now() + timeout;
    while (m_world.now() < until) {
        // Looks for the state in the text, since decoding the record each time would take most of the test.
        auto it = m_world.stored().find(jobKey(id));
        if (it != m_world.stored().end() && !absl::StrContains(it->second.value, R"("state":"accepted")"))
            return true;
        m_world.run(absl::Milliseconds(100));
    }
    return false;
}

uint64_t JobWorld::startsOf(const std::string& job, uint32_t task) const
{
    auto it = m_starts.find({ job, task });
    return it == m_starts.end() ? 0 : it->second;
}

uint64_t JobWorld::overfull() const
{
    uint64_t total = 0;
    for (const Worker& worker : m_workers)
        total += worker.model->overfull;
    return total;
}

size_t JobWorld::runningOf(const std::string& job) const
{
    size_t running = 0;
    for (const auto& [task, workers] : m_running)
        running += task.first == job ? workers.size() : 0;
    return running;
}

std::string jobIdIn(uint32_t partition, int salt)
{
    for (uint32_t i = 0;; ++i) {
        std::string id = absl::StrFormat("00000000-0000-4000-8000-%04x%08x", salt, i);
        if (jobPartition(id) == partition)
            return id;
    }
}

} // namespace cicada::Testing
