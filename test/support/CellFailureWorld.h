#pragma once

/** \file
 * The deployment that tests of failing cells share: four entries, twelve workers and jobs whose ends are awaited.
 */

#include "CellWorld.h"

#include "absl/strings/str_cat.h"

#include "CppUTest/TestHarness.h"

namespace cicada::test {

/** The base of a test group. Its tests begin with an owned cell, and no promise may have been broken when they end. */
struct CellFailureWorld : public Utest {
    CellWorld world { 4, 12, 7 };
    int jobs = 0;

    void setup() override
    {
        CHECK(world.runUntil([&] { return world.owner().has_value(); }, absl::Seconds(5)));
    }
    void teardown() override { STRCMP_EQUAL("", world.report().c_str()); }

    size_t owner() { return world.owner().value(); }
    size_t other() { return (owner() + 1) % world.entryCount(); }
    /** Hands in jobs of one to four tasks. */
    void submitSome(int count, size_t at)
    {
        for (int i = 0; i < count; ++i, ++jobs)
            world.submit(at, makeJob(absl::StrCat("job", jobs), 1 + static_cast<uint32_t>(jobs) % 4));
    }
    /** Waits until all jobs of submitSome() have been accepted and have ended. */
    void expectAllEnd(absl::Duration limit = absl::Seconds(40))
    {
        for (int i = 0; i < jobs; ++i) {
            const std::string id = absl::StrCat("job", i);
            CHECK(world.runUntil([&] { return world.isAccepted(id); }, limit));
        }
        size_t at = world.owner().value_or(0);
        CHECK(world.runUntil([&] { return world.allEnded(at = world.owner().value_or(at)); }, limit));
    }
};

} // namespace cicada::test
