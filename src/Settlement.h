#pragma once

/** \file
 * The state machine of one request: decides the next step, and finally the outcome that is returned to the caller. It
 * does no I/O: its driver carries out each step and reports the result. Every outcome is decided here and nowhere else;
 * docs/OUTCOMES.md lists them.
 */

#include "ClaimsClient.h"
#include "ExecutorClient.h"
#include "Outcome.h"

#include "absl/container/flat_hash_set.h"

#include <optional>
#include <string>

namespace cicada {

/** The kinds of steps. */
enum class StepKind {
    /** Request a claim on the id from its home. */
    Claim,
    /** Request the phase of an earlier attempt from the entry that holds its claim. */
    Locate,
    /** Queue for a slot. */
    Place,
    /** Send the start and wait for the run to end. */
    Run,
    /** Wait for a run that another attempt started, at `address`; start and stop nothing. */
    Join,
    /** Query every executor of the service for the run of the earlier attempt, and have it refused where it is not
     * known. */
    Scan,
    /** Do nothing until `until`. */
    Wait,
    /** Return the result to the caller. */
    Done,
};

/** One step, with what is needed to carry it out. */
struct Step {
    StepKind kind = StepKind::Done;
    /** Claim: the token of the closed attempt that the new one replaces, or 0. */
    uint64_t supersedes = 0;
    /** Locate, Join and Scan: the earlier attempt. */
    HeldClaim held;
    /** Place, Run, Join, Scan: the id under which executors know the run. */
    std::string runId;
    /** Run. */
    StartGrant grant;
    /** Join. */
    Endpoint address;
    /** Claim, Place: when to give up. Wait: when to go on. */
    Instant until = absl::ZeroDuration();
};

/** The result of a scan of the executors. */
struct ScanResult {
    enum class Kind {
        /** `address` runs it or ran it. */
        Found,
        /** Every executor confirmed that it never started it and will not. */
        NeverStarts,
        /** At least one executor could not tell. */
        Unsettled,
    };
    Kind kind = Kind::Unsettled;
    Endpoint address;
};

/** The result that is returned to the caller. */
struct SettlementResult {
    Outcome outcome = Outcome::NotRun;
    /** Set when it ran. */
    RunResult runResult;
    /** Set when it did not, or when that is unknown. */
    std::optional<Error> error;
};

/** The id under which executors know one attempt. It differs per attempt, so that a later attempt is not refused
 * because of the mark of a closed one. */
std::string runIdOf(absl::string_view requestId, uint32_t version);

/** The steps of one request. Not thread-safe. */
class Settlement {
public:
    /** The profile's maxWait counts from `now`. */
    Settlement(std::string requestId, const Profile& profile, Instant now);

    /** The step to carry out now. */
    const Step& step() const { return m_step; }
    /** The result for the caller, once the step is Done. */
    const SettlementResult& result() const { return m_result; }
    /** The token of this request's own granted claim, or 0. */
    uint64_t token() const { return m_token; }

    void claimed(const ClaimResult& claimResult, Instant now);
    void located(const Location& location, Instant now);
    /** `startUntil` is when this request's own lease for sending starts expires. */
    void placed(const Result<StartGrant>& grant, Instant startUntil);
    /** `mayRetry` is whether the retry budget allows another placement if the run did not start. */
    void ran(RunResult result, bool mayRetry, Instant now);
    void joined(RunResult result, Instant now);
    /** `startedAt` is when the scan began. */
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
    /** Waits for the result of the held attempt's run on the executor at this address. */
    void join(const Endpoint& address);
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
    /** Executors that hold a mark, set on behalf of this attempt, that it must not start there. */
    absl::flat_hash_set<std::string> m_notStartedOn;
};

} // namespace cicada
