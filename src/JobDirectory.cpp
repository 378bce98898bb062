#include "JobDirectory.h"

#include "Json.h"

#include "absl/strings/str_cat.h"

#include <algorithm>

namespace cicada {

namespace {

    constexpr absl::Duration submitTimeout = absl::Seconds(5);
    constexpr absl::Duration queryTimeout = absl::Seconds(6);
    constexpr absl::Duration noticeInterval = absl::Seconds(1);
    /** Notices are repeated because they may be lost; if all are lost, the owner's audit of the store finds the job. */
    constexpr int maxNotices = 3;

    std::string recordJson(const JobRecord& record) { return ActiveJob(record).toJson(); }

} // namespace

JobDirectory::JobDirectory(Parts parts)
    : m_parts(std::move(parts))
{
    m_parts.peers.handle(jobServiceNotice, [this](absl::string_view, absl::string_view bytes) {
        if (auto notice = decodeJobMessage<JobNotice>(bytes))
            m_parts.controller.noteStored(notice.value().job);
    });
    m_parts.peers.handle(jobServiceQuery, [this](absl::string_view from, absl::string_view bytes) {
        if (auto query = decodeJobMessage<JobQuery>(bytes))
            handleQuery(std::string(from), query.value());
    });
    m_parts.peers.handle(jobServiceReply, [this](absl::string_view, absl::string_view bytes) {
        if (auto answer = decodeJobMessage<JobReply>(bytes))
            handleReply(answer.value());
    });
    m_parts.peers.handle(jobServiceTeams, [this](absl::string_view from, absl::string_view bytes) {
        if (auto digest = decodeJobMessage<TeamDigest>(bytes))
            m_parts.quotas.recordPeerUsage(std::string(from), std::move(digest.value()), m_parts.clock.now());
    });
}

std::string JobDirectory::ownerOf(const std::string& id) const
{
    return m_parts.ownership.owner(claimGroup(jobPartition(id)));
}

void JobDirectory::submit(JobSpec spec, Profile profile, ReplyCallback callback)
{
    if (auto held = checkEverFits(spec, m_parts.backEnds); !held)
        return callback(held.error());
    if (auto allowed = m_parts.quotas.checkEverFits(spec); !allowed)
        return callback(allowed.error());
    const std::string id = spec.id;
    JobRecord record = makeRecord(std::move(spec), std::move(profile), m_parts.clock.wallMicros());
    m_parts.records.create(
        std::move(record), submitTimeout, [this, id, callback = std::move(callback)](Result<JobRecord> stored) mutable {
            if (!stored)
                return callback(stored.error());
            m_notices.push_back({ id, m_parts.clock.now() });
            sendNotice(m_notices.back(), m_parts.clock.now());
            callback(
                Internal::Json { { "id", id }, { "state", std::string(jobStateName(stored.value().state)) } }.dump());
        });
}

void JobDirectory::sendNotice(Notice& notice, Instant now)
{
    ++notice.sends;
    notice.nextSend = now + noticeInterval;
    const std::string owner = ownerOf(notice.job);
    if (owner == m_parts.name)
        m_parts.controller.noteStored(notice.job);
    else if (!owner.empty())
        m_parts.peers.send(owner, jobServiceNotice, encode(JobNotice { notice.job }));
}

void JobDirectory::find(const std::string& id, ReplyCallback callback) { ask(id, false, std::move(callback)); }

void JobDirectory::cancel(const std::string& id, ReplyCallback callback) { ask(id, true, std::move(callback)); }

void JobDirectory::ask(const std::string& id, bool cancel, ReplyCallback callback)
{
    const std::string owner = ownerOf(id);
    if (owner.empty())
        return replyFromStore(id, cancel, std::move(callback));
    const uint64_t queryId = m_queryNumbers.next();
    m_queries[queryId] = { id, cancel, m_parts.clock.now() + queryTimeout, std::move(callback) };
    m_parts.peers.send(owner, jobServiceQuery, encode(JobQuery { queryId, id, cancel }));
}

void JobDirectory::handleQuery(const std::string& from, const JobQuery& query)
{
    const auto answer = [this, from, queryId = query.queryId](const std::string& json) {
        m_parts.peers.send(from, jobServiceReply, encode(JobReply { queryId, json }));
    };
    const auto job = m_parts.controller.find(query.job);
    if (!job || !query.cancel)
        return answer(job.value_or(""));
    m_parts.controller.cancel(
        query.job, [answer](Result<std::string> result) { answer(result ? result.value() : ""); });
}

void JobDirectory::handleReply(const JobReply& answer)
{
    auto it = m_queries.find(answer.queryId);
    if (it == m_queries.end())
        return;
    Query query = std::move(it->second);
    m_queries.erase(it);
    if (answer.json.empty())
        return replyFromStore(query.job, query.cancel, std::move(query.callback));
    query.callback(answer.json);
}

void JobDirectory::replyFromStore(const std::string& id, bool cancel, ReplyCallback callback)
{
    m_parts.records.read(id, [cancel, callback = std::move(callback)](Result<JobRecord> record) mutable {
        if (!record)
            return callback(record.error());
        if (cancel && record.value().state == JobState::Accepted)
            return callback(Error { ErrorKind::NoAuthority, "The job's owner did not confirm the cancellation.",
                "Send it again; cancelling a job twice is harmless." });
        callback(recordJson(record.value()));
    });
}

void JobDirectory::tick(Instant now)
{
    std::vector<Query> late;
    for (auto it = m_queries.begin(); it != m_queries.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        late.push_back(std::move(it->second));
        it = m_queries.erase(it);
    }
    for (Query& query : late)
        replyFromStore(query.job, query.cancel, std::move(query.callback));
    for (Notice& notice : m_notices) {
        if (now >= notice.nextSend)
            sendNotice(notice, now);
    }
    m_notices.erase(std::remove_if(m_notices.begin(), m_notices.end(),
                        [](const Notice& notice) { return notice.sends >= maxNotices; }),
        m_notices.end());
}

} // namespace cicada
