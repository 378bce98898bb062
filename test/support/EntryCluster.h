#pragma once

/** \file
 * Several entries as far as authority and ownership go, in a FakeWorld, with the checks that must hold at every
 * instant: for paused nodes too, which would answer by their own clock when they resume, and for dead ones.
 */

#include "Guardianship.h"
#include "OwnershipTable.h"
#include "support/FakeWorld.h"

namespace cicada::Testing {

/** One run of one entry. */
struct EntryRun {
    EntryRun(Settings given, Node& at, uint64_t& incarnations, absl::Span<const BackEnd> list);

    Settings settings;
    Node& node;
    BackEnds backEnds;
    ConfigWatch watch;
    Membership membership;
    Authority authority;
    Guardianship guardianship;
    OwnershipTable ownership;
    bool dead = false;
    bool paused = false;
    uint64_t gained = 0;
    uint64_t lost = 0;
};

/** A cluster of entries named "entry-0", "entry-1" and so on. */
class EntryCluster {
public:
    /** `domains` failure domains, each a region of its own, with entries and executors spread over them in turn. */
    EntryCluster(uint64_t seed, size_t domains, size_t executors);

    /** Starts the next entry, or entry-`index` anew after it was killed. Clocks run at rates across the drift bound. */
    EntryRun& start(size_t index);
    /** The latest run of entry-`index`. */
    EntryRun& run(size_t index) { return *m_latest.at(index); }
    size_t size() const { return m_latest.size(); }
    const std::vector<std::unique_ptr<EntryRun>>& runs() const { return m_runs; }

    void kill(size_t index);
    void pause(size_t index);
    void resume(size_t index);
    /** Cuts off two entries from the store and from all others, but not from each other. */
    void cutOffPair(size_t a, size_t b);

    /** Advances the time and checks at every tick; stops early at the first violation. */
    void advance(absl::Duration by);
    /** Advances until `done` or `atMost` has passed; the time that it took, or nothing. */
    std::optional<absl::Duration> advanceUntil(const std::function<bool()>& done, absl::Duration atMost);
    /** True when some living entry may use each group now. */
    bool allOwned() const;
    /** The living entry that may use the group, or null. */
    EntryRun* ownerOf(absl::string_view group) const;
    /** What was violated first; empty when nothing was. */
    const std::string& violation() const { return m_violation; }

    FakeWorld world;
    std::vector<BackEnd> executors;
    absl::Duration promiseTime = absl::Milliseconds(1500);
    double driftBound = 0.01;

private:
    void check();
    void checkGroup(const std::string& group, absl::Span<const EntryRun* const> active);
    void checkEnded(const EntryRun& run);

    size_t m_domains;
    uint64_t m_incarnations = 0;
    std::vector<std::unique_ptr<EntryRun>> m_runs;
    std::vector<EntryRun*> m_latest;
    std::vector<std::string> m_checkedOften;
    std::vector<std::string> m_allGroups;
    absl::btree_map<std::string, uint64_t> m_endedIndexes;
    absl::btree_set<EntryId> m_endedRuns;
    size_t m_ticks = 0;
    std::string m_violation;
};

} // namespace cicada::Testing
