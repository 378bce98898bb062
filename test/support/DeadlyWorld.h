#pragma once

/** \file
 * A deployment in which tasks crash their workers, and jobs whose ends are awaited.
 */

#include "CellFailureWorld.h"

#include <functional>

namespace cicada::test {

/** The base of a test group. */
struct DeadlyWorld : public CellFailureWorld {
    const TaskName deadly { "deadly", 0, 0, 0 };

    /** Every task of the job crashes its worker. */
    void makeDeadly(const std::string& job, absl::Duration away = absl::Seconds(3))
    {
        world.setDeadly([job](const TaskName& task) { return task.job == job; }, away);
    }
    /** Kills the owner when the number has risen, at most five times, and starts it again `away` later. */
    void killOwnerAfterEach(const std::function<size_t()>& number, absl::Duration away)
    {
        const auto hasRisenTo
            = [&](size_t target) { return world.runUntil([&] { return number() >= target; }, absl::Seconds(25)); };
        for (size_t i = 1; i <= 5 && hasRisenTo(i); ++i) {
            const size_t killed = owner();
            world.kill(killed);
            world.run(away);
            world.start(killed);
        }
    }
    void expectFinished(const std::string& job, absl::Duration limit = absl::Seconds(40))
    {
        size_t at = world.owner().value_or(0);
        CHECK(world.runUntil(
            [&] {
                const std::optional<JobPhase> phase = world.ask(at = world.owner().value_or(at), job);
                return phase && isEnded(*phase);
            },
            limit));
        CHECK(world.ask(at, job) == JobPhase::Finished);
    }
    /** Waits until the job is shown as failed. */
    void expectFailed(const std::string& job, absl::Duration limit = absl::Seconds(30))
    {
        size_t at = world.owner().value_or(0);
        CHECK(
            world.runUntil([&] { return world.ask(at = world.owner().value_or(at), job) == JobPhase::Failed; }, limit));
    }
};

} // namespace cicada::test
