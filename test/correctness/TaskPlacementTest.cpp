/** \file
 * The ledger of workers: the indexed search finds what a search of all workers finds, and nothing goes where it does
 * not fit.
 */

#include "TaskPlacement.h"
#include "Job.h"

#include "absl/strings/str_cat.h"

#include <random>

#include "CppUTest/TestHarness.h"

using namespace cicada;

namespace {

/** The same score without its bound, so that every worker is looked at. */
class Unbounded final : public PlacementScore {
public:
    absl::string_view name() const override { return "unbounded"; }
    double score(const Resources& free, const Resources& capacity, const Resources& demand) override
    {
        return m_score->score(free, capacity, demand);
    }

private:
    std::unique_ptr<PlacementScore> m_score = makePlacementScore("best-fit");
};

} // namespace

TEST_GROUP(TaskPlacement)
{
    std::mt19937_64 random { 5 };
    int64_t number(int64_t low, int64_t high) { return std::uniform_int_distribution<int64_t>(low, high)(random); }

    void add(WorkerLedger & ledger, int index)
    {
        const int64_t size = number(1, 4) * 8000;
        ledger.upsert({ absl::StrCat("w", index), absl::StrCat("r", index / 8), absl::StrCat("d", index % 3),
            { size, size * 4, index % 5 == 0 ? 4 : 0 }, {}, true });
    }
};

TEST(TaskPlacement, theIndexFindsWhatASearchOfAllFinds)
{
    WorkerLedger ledger;
    for (int i = 0; i < 200; ++i)
        add(ledger, i);
    const auto indexed = makePlacementScore("best-fit");
    Unbounded all;
    SpreadCounts counts;
    std::vector<std::pair<std::string, Resources>> placed;
    for (int step = 0; step < 20000; ++step) {
        const Resources demand { number(100, 9000), number(100, 40000), number(0, 9) == 0 ? 1 : 0 };
        const SpreadCounts* spread = step % 3 == 0 ? &counts : nullptr;
        const WorkerAllocation* chosen = ledger.choose(demand, *indexed, spread);
        const WorkerAllocation* expected = ledger.choose(demand, all, spread);
        CHECK_EQUAL(expected == nullptr, chosen == nullptr);
        if (chosen) {
            CHECK(fits(demand, chosen->capacity - chosen->used));
            const auto total = [&](const WorkerAllocation& worker) {
                const double own = indexed->score(worker.capacity - worker.used, worker.capacity, demand);
                return spread ? own + 10 * counts.workers[worker.name] + 100 * counts.racks[worker.rack]
                        + 1000 * counts.failureDomains[worker.failureDomain]
                              : own;
            };
            DOUBLES_EQUAL(total(*expected), total(*chosen), 1e-9);
            placed.emplace_back(chosen->name, demand);
            if (step % 50 == 0)
                counts.add(*chosen);
            ledger.take(placed.back().first, demand);
        }
        if (!chosen || number(0, 2) == 0) {
            if (placed.empty())
                continue;
            std::swap(placed[static_cast<size_t>(number(0, static_cast<int64_t>(placed.size()) - 1))], placed.back());
            ledger.give(placed.back().first, placed.back().second);
            placed.pop_back();
        }
        if (step % 500 == 499) {
            const std::string gone = absl::StrCat("w", step / 500);
            ledger.remove(gone);
            std::erase_if(placed, [&gone](const auto& item) { return item.first == gone; });
        }
    }
}

TEST(TaskPlacement, workersThatAreNotUsableTakeNothing)
{
    WorkerLedger ledger;
    ledger.upsert({ "w", "r", "d", { 8000, 8000, 0 }, {}, true });
    const auto score = makePlacementScore("best-fit");
    CHECK(ledger.choose({ 8000, 8000, 0 }, *score, nullptr) != nullptr);
    CHECK(ledger.choose({ 8001, 1, 0 }, *score, nullptr) == nullptr);
    CHECK(ledger.choose({ 1, 8001, 0 }, *score, nullptr) == nullptr);
    CHECK(ledger.choose({ 1, 1, 1 }, *score, nullptr) == nullptr);
    ledger.setUsable("w", false);
    CHECK(ledger.choose({ 1, 1, 0 }, *score, nullptr) == nullptr);
}
