#pragma once

/** \file
 * Decides, step by step, what is done next with one request, and in the end what its caller is told. It does no I/O:
 * whoever drives it carries out each step and hands back what came of it. Every outcome is decided here and nowhere
 * else; docs/OUTCOMES.md lists them.
 */

#include "ClaimsClient.h"
#include "ExecutorClient.h"
#include "Outcome.h"

#include "absl/container/flat_hash_set.h"

#include <optional>
#include <string>

namespace cicada {

/** What is to be done next. */
enum class StepKind {
    /** Ask the claim's home for leave to run the id. */
    Claim,
    /** Ask the entry that holds an earlier claim what became of it. */
    Locate,
    /** Queue for a slot. */
    Place,
    /** Send the start and wait for the run's end. */
    Run,
    /** Wait for a run that another attempt started, at `address`; start and stop nothing. */
    Join,
    /** Ask every executor of the service for the earlier attempt's run, and have it refused where it is not known. */
    Scan,
    /** Do nothing until `until`. */
    Wait,
    /** Tell the caller. */
    Done,
};

/** One step, with what is needed to carry it out. */
struct Step {
    StepKind kind = StepKind::Done;
    /** Claim: the token of the closed attempt that the new one replaces, or 0. */
    uint64_t supersedes = 0;
    /** Locate and Sweep: the earlier attempt. */
    HeldClaim held;
    /** Run, Join, Sweep: the id under which executors know the run. */
    std::string runId;
    /** Run. */
    StartGrant grant;
    /** Join. */
    Endpoint address;
    /** Claim, Place: when to give up. Wait: when to go on. */
    Instant until = absl::ZeroDuration();
};

/** What a sweep found. */
struct ScanResult {
    enum class Kind {
        /** `address` runs it or ran it. */
        Found,
        /** Every executor confirmed that it never started it and will not. */
        NeverStarts,
        /** At least one executor could not say. */
        Unsettled,
    };
    Kind kind = Kind::Unsettled;
    Endpoint address;
};

/** What the caller is told. */
struct SettlementResult {
    Outcome outcome = Outcome::NotRun;
    /** Set when it ran. */
    RunResult runResult;
    /** Set when it did not, or when that is unknown. */
    std::optional<Error> error;
};

/** The id under which executors know one attempt: later attempts must not meet the marks of closed ones. */
std::string runIdOf(absl::string_view requestId, uint32_t version);

/** The steps of one request. Not thread-safe. */
class Settlement {
public:
    /** The profile's maxWait counts from `now`. */
    Settlement(std::string requestId, const Profile& profile, Instant now);

    /** The step to carry out now. */
    const Step& step() const { return m_step; }
    /** The caller's answer, once the step is Done. */
    const SettlementResult& result() const { return m_result; }
    /** The token of this request's own granted claim, or 0. */
    uint64_t token() const { return m_token; }

    void claimed(const ClaimResult& claimResult, Instant now);
    void located(const Location& location, Instant now);
    /** `startUntil` is when the own claim's leave to send starts ends. */
    void placed(const Result<StartGrant>& grant, Instant startUntil);
    /** `mayRetry` is whether the retry budget lets it be placed again if it did not start. */
    void ran(RunResult result, bool mayRetry, Instant now);
    void joined(RunResult result, Instant now);
    /** `startedAt` is when the sweep began. */
    void scanned(const ScanResult& result, Instant startedAt, Instant now);
    void waited(Instant now);

    static constexpr int maxPlacements = 3;
    static constexpr absl::Duration locateInterval = absl::Milliseconds(50);
    static constexpr absl::Duration scanInterval = absl::Milliseconds(500);

private:
    void claim(uint64_t supersedes);
    void locate();
    void place();
    void scan(Instant now);
    void waitUntil(Instant until, StepKind then, Instant now);
    void finishNotRun(Error error);
    void finishUnknown(ErrorKind kind, std::string reason);

    const std::string m_requestId;
    const Profile m_profile;
    const Instant m_deadline;
    Step m_step;
    SettlementResult m_result;
    HeldClaim m_held;
    StepKind m_afterWait = StepKind::Done;
    uint64_t m_token = 0;
    std::string m_runId;
    int m_placements = 0;
    /** Executors that hold this attempt's own mark that it must not start there. */
    absl::flat_hash_set<std::string> m_notStartedOn;
};

} // namespace cicada
