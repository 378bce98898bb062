#include "Settlement.h"

#include "absl/strings/str_cat.h"

namespace cicada {

std::string runIdOf(absl::string_view requestId, uint32_t version)
{
    return version <= 1 ? std::string(requestId) : absl::StrCat(requestId, ".", version);
}

Settlement::Settlement(std::string requestId, const Profile& profile, Instant now)
    : m_requestId(std::move(requestId))
    , m_profile(profile)
    , m_deadline(now + profile.maxWait)
    , m_runId(m_requestId)
{
    if (m_profile.mayRunTwice)
        place();
    else
        claim(0);
}

void Settlement::claim(uint64_t supersedes)
{
    m_step = {};
    m_step.kind = StepKind::Claim;
    m_step.supersedes = supersedes;
    m_step.until = m_deadline;
}

void Settlement::locate()
{
    m_step = {};
    m_step.kind = StepKind::Locate;
    m_step.held = m_held;
}

void Settlement::place()
{
    ++m_placements;
    m_step = {};
    m_step.kind = StepKind::Place;
    m_step.runId = m_runId;
    m_step.until = m_deadline;
}

void Settlement::scan(Instant now)
{
    if (now >= m_deadline)
        return finishUnknown(
            ErrorKind::DuplicateRequest, "An earlier attempt with this id could not be settled in time.");
    m_step = {};
    m_step.kind = StepKind::Scan;
    m_step.held = m_held;
    m_step.runId = runIdOf(m_requestId, m_held.version);
}

void Settlement::waitUntil(Instant until, StepKind then, Instant now)
{
    if (now >= m_deadline)
        return finishUnknown(ErrorKind::DuplicateRequest, "An earlier attempt with this id is not settled yet.");
    m_step = {};
    m_step.kind = StepKind::Wait;
    m_step.until = std::min(until, m_deadline);
    m_afterWait = then;
}

void Settlement::finishNotRun(Error error)
{
    m_step = {};
    m_result.outcome = Outcome::NotRun;
    m_result.error = std::move(error);
}

void Settlement::finishUnknown(ErrorKind kind, std::string reason)
{
    m_step = {};
    m_result.outcome = Outcome::Unknown;
    m_result.error = Error { kind, std::move(reason),
        "It is not run again. Repeat the request with the same id to settle it, or check its effects." };
}

void Settlement::claimed(const ClaimResult& claimResult, Instant now)
{
    switch (claimResult.kind) {
    case ClaimResult::Kind::Granted:
        m_token = claimResult.token;
        m_runId = runIdOf(m_requestId, claimResult.version);
        return place();
    case ClaimResult::Kind::Held:
        m_held = claimResult.held;
        return locate();
    case ClaimResult::Kind::Mismatch:
        return finishUnknown(ErrorKind::DuplicateRequest, "The id belongs to another request, which may have run.");
    case ClaimResult::Kind::NotStored:
        return finishNotRun({ ErrorKind::StoreUnavailable, "The id could not be recorded in the store in time.",
            "Nothing was run; send it again later with the same id." });
    case ClaimResult::Kind::Unreachable:
        return finishUnknown(
            ErrorKind::NoAuthority, "Whether an earlier attempt with this id ran cannot be determined at present.");
    }
    waitUntil(now, StepKind::Locate, now);
}

void Settlement::located(const Location& location, Instant now)
{
    switch (location.phase) {
    case AttemptPhase::Closed:
        return claim(m_held.token);
    case AttemptPhase::Waiting:
        return waitUntil(now + locateInterval, StepKind::Locate, now);
    case AttemptPhase::Placed:
        return join(location.address);
    case AttemptPhase::Unknown:
        return scan(now);
    }
}

void Settlement::join(const Endpoint& address)
{
    m_step = {};
    m_step.kind = StepKind::Join;
    m_step.held = m_held;
    m_step.runId = runIdOf(m_requestId, m_held.version);
    m_step.address = address;
}

void Settlement::placed(const Result<StartGrant>& grant, Instant startUntil)
{
    if (!grant)
        return finishNotRun(grant.error());
    m_step = {};
    m_step.kind = StepKind::Run;
    m_step.runId = m_runId;
    m_step.grant = grant.value();
    m_step.grant.startBy = std::min(m_step.grant.startBy, startUntil);
}

void Settlement::ran(RunResult result, bool mayRetry, Instant now)
{
    if (result.end == RunEnd::Answered) {
        m_step = {};
        m_result.outcome = Outcome::Ran;
        m_result.runResult = std::move(result);
        return;
    }
    if (result.end == RunEnd::Unknown)
        return finishUnknown(ErrorKind::BackEndFailed, std::move(result.reason));
    const std::string& executor = m_step.grant.executor;
    if (result.end == RunEnd::Refused && !m_notStartedOn.contains(executor))
        return finishUnknown(ErrorKind::DuplicateRequest,
            "The executor was told to refuse this attempt; a later one with the same id may have taken its place.");
    m_notStartedOn.insert(executor);
    if (m_placements < maxPlacements && now < m_deadline && mayRetry)
        return place();
    finishNotRun({ ErrorKind::BackEndFailed, absl::StrCat("No executor started it: ", result.reason),
        "Nothing was run; try again later, and check the service's executors." });
}

void Settlement::joined(RunResult result, Instant now)
{
    if (result.end == RunEnd::Answered || result.end == RunEnd::Unknown)
        return ran(std::move(result), false, now);
    waitUntil(now + locateInterval, StepKind::Locate, now);
}

void Settlement::scanned(const ScanResult& result, Instant startedAt, Instant now)
{
    if (result.kind == ScanResult::Kind::Found)
        return join(result.address);
    if (result.kind == ScanResult::Kind::Unsettled)
        return waitUntil(now + scanInterval, StepKind::Scan, now);
    // Until then the claimer may still send a start to an executor that was not part of this scan.
    if (startedAt < m_held.mayStartUntil)
        return waitUntil(m_held.mayStartUntil, StepKind::Scan, now);
    claim(m_held.token);
}

void Settlement::waited(Instant now)
{
    if (m_afterWait == StepKind::Scan)
        return scan(now);
    locate();
}

} // namespace cicada
