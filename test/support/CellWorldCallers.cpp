/** \file
 * The part of CellWorld that plays callers, and checks what they are told.
 */

#include "CellWorldEntry.h"

#include "absl/strings/str_cat.h"

namespace cicada::test {

void CellWorld::submitOnce(size_t entry, Submission job)
{
    m_jobs[job.id].spec = job;
    ++m_jobs[job.id].attempts;
    WorldEntry* at = m_entries[entry].get();
    if (!at || !at->isAlive)
        return;
    at->host.gateway().submit(
        job, policyOfJob(job.id), absl::Milliseconds(2800), [this, id = job.id](GatewayReply reply) {
            m_answers[id].push_back(reply.status);
            m_replies[id].push_back(reply);
            if (reply.status == GatewayStatus::Refused)
                m_retryAfters[id].push_back(reply.count);
            if (reply.status == GatewayStatus::Accepted)
                m_accepted.insert(id);
        });
}

void CellWorld::submit(size_t entry, const Submission& job)
{
    submitOnce(entry, job);
    m_timers.after(absl::Milliseconds(3000), [this, entry, job] { retrySubmit(entry, job); });
}

void CellWorld::retrySubmit(size_t entry, const Submission& job)
{
    const auto& answers = m_answers[job.id];
    const bool isOpen = answers.empty() || answers.back() == GatewayStatus::Unknown;
    if (isOpen && !m_accepted.contains(job.id))
        submit((entry + 1) % m_entries.size(), job);
}

std::vector<GatewayStatus> CellWorld::answersTo(const std::string& job) const
{
    const auto found = m_answers.find(job);
    return found == m_answers.end() ? std::vector<GatewayStatus>() : found->second;
}

void CellWorld::cancel(size_t entry, const std::string& job)
{
    WorldEntry* at = m_entries[entry].get();
    if (!at || !at->isAlive)
        return;
    const JobAddress address { job, policyOfJob(job).queue };
    at->host.gateway().cancel(address, absl::Milliseconds(2800), [this, job](GatewayReply reply) {
        if (reply.status != GatewayStatus::Cancelled || m_jobs[job].isCancelAcked)
            return;
        m_jobs[job].isCancelAcked = true;
        m_jobs[job].cancelAckedAt = now();
    });
}

std::optional<JobPhase> CellWorld::ask(size_t entry, const std::string& job)
{
    WorldEntry* at = m_entries[entry].get();
    const bool wasAccepted = m_accepted.contains(job);
    auto answer = std::make_shared<std::optional<GatewayReply>>();
    const JobAddress address { job, policyOfJob(job).queue };
    if (at && at->isAlive)
        at->host.gateway().query(address, absl::Milliseconds(2500), [answer](GatewayReply reply) { *answer = reply; });
    runUntil([answer] { return answer->has_value(); }, absl::Milliseconds(2600));
    if (!*answer)
        return std::nullopt;
    if ((*answer)->status == GatewayStatus::Gone && wasAccepted)
        violate(absl::StrCat("job ", job, " was accepted and is said not to exist"));
    if ((*answer)->status != GatewayStatus::Found)
        return std::nullopt;
    const JobPhase phase = (*answer)->phase;
    if (phase == JobPhase::Finished) {
        const Job& known = m_jobs[job];
        size_t tasks = 0;
        for (const StepSpec& step : known.spec.steps)
            tasks += step.isGang ? 1 : step.taskCount;
        if (known.finishedAcked.size() + 1000 < tasks)
            violate(absl::StrCat("job ", job, " is shown as finished too soon"));
    }
    return phase;
}

uint64_t CellWorld::pending(size_t entry)
{
    auto answer = std::make_shared<std::optional<GatewayReply>>();
    m_entries[entry]->host.gateway().pending(
        m_policy.queue, absl::Milliseconds(2500), [answer](GatewayReply reply) { *answer = reply; });
    runUntil([answer] { return answer->has_value(); }, absl::Milliseconds(2600));
    return *answer ? (*answer)->count : 0;
}

bool CellWorld::allEnded(size_t askAt)
{
    for (const std::string& job : m_accepted) {
        if (m_sawEnd.contains(job))
            continue;
        const auto phase = ask(askAt, job);
        if (!phase || !isEnded(*phase))
            return false;
        m_sawEnd.insert(job);
    }
    return true;
}

} // namespace cicada::test
