#pragma once

/** \file
 * Runs whose end is not known, because their executor can't be reached. Their slots stay taken, as they may still be
 * going on; the executors are asked again until they can say.
 */

#include "Clock.h"
#include "Dispatcher.h"
#include "Kernel.h"

#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"

#include <list>
#include <string>
#include <thread>

namespace cicada {

/** Asks for lost runs on a thread of its own. Thread-safe. */
class LostRuns final : public Service {
public:
    /** `ended` is called on this service's thread with each run that is known to have ended. */
    LostRuns(const Clock&, absl::AnyInvocable<void(const StartGrant&)> ended);
    ~LostRuns() override;

    absl::string_view name() const override { return "lost-runs"; }
    Result<void> start() override;
    void stop() override;

    /** Takes over a run that was sent under `grant` and may still be going on. */
    void add(StartGrant grant, std::string runId);
    /** Runs that are not settled yet. */
    size_t size() const;

    static constexpr absl::Duration askInterval = absl::Seconds(2);

private:
    struct LostRun {
        StartGrant grant;
        std::string runId;
        Instant since;
    };

    bool stopping() const;
    void run();
    void askAll();

    const Clock& m_clock;
    absl::AnyInvocable<void(const StartGrant&)> m_ended;
    mutable absl::Mutex m_mutex;
    std::list<LostRun> m_runs ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace cicada
