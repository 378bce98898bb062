/** \file
 * How long one decision takes on the processor: a request is submitted, placed and finished, with a growing number of
 * executors at one owner, and a wave of cancellations. Prints a table and writes JSON.
 */

#include "Dispatcher.h"
#include "Json.h"
#include "support/FakeOwnership.h"
#include "support/FakeWorld.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace {

using namespace cicada;
using namespace cicada::Testing;
using Internal::Json;

constexpr int decisions = 20000;
constexpr uint32_t slotsEach = 8;
/** The part of the slots that is in use while decisions are measured. */
constexpr double busyPart = 0.7;

/** Microseconds. */
struct Times {
    std::vector<double> values;
    double quantile(double q)
    {
        std::sort(values.begin(), values.end());
        return values.empty() ? 0 : values[static_cast<size_t>(q * static_cast<double>(values.size() - 1))];
    }
};

double microsFor(const std::function<void()>& work)
{
    const SystemClock clock;
    const Instant start = clock.now();
    work();
    return absl::ToDoubleMicroseconds(clock.now() - start);
}

struct Bench {
    explicit Bench(int executors)
        : node(world.addNode("self"))
        , ledger(backEnds, ownership, clock)
        , dispatcher("self", backEnds, ledger, node, clock, 1000000, { "a", {}, 1 })
    {
        std::vector<BackEnd> list;
        for (int i = 0; i < executors; ++i) {
            BackEnd executor;
            executor.name = absl::StrCat("executor-", i);
            executor.service = "desk";
            executor.region = "a";
            executor.slots = slotsEach;
            list.push_back(executor);
            ownership.gain(executor.group(), 1);
        }
        backEnds.update(list);
        profile.name = "check";
        profile.maxWait = absl::Seconds(600);
        clock.advance(absl::Seconds(1));
    }

    std::string submit()
    {
        std::string id = absl::StrCat("r", next++);
        dispatcher.submit({ id, "desk", profile, 0, {} }, [this](const Result<StartGrant>& grant) {
            if (grant)
                running.push_back(grant.value());
        });
        return id;
    }

    void finishOldest()
    {
        const StartGrant grant = running.front();
        running.pop_front();
        dispatcher.finished(grant, { RunVerdict::Succeeded, absl::Milliseconds(100) });
    }

    FakeWorld world { 1 };
    ManualClock clock;
    Node& node;
    BackEnds backEnds;
    FakeOwnership ownership;
    SlotLedger ledger;
    Dispatcher dispatcher;
    Profile profile;
    std::deque<StartGrant> running;
    int next = 0;
};

Json measure(int executors)
{
    Bench bench(executors);
    const int busy = static_cast<int>(executors * slotsEach * busyPart);
    for (int i = 0; i < busy; ++i)
        bench.submit();
    Times place;
    Times finish;
    for (int i = 0; i < decisions; ++i) {
        place.values.push_back(microsFor([&] { bench.submit(); }));
        finish.values.push_back(microsFor([&] { bench.finishOldest(); }));
        // About 2,000 decisions a second, so that the index is rebuilt as often as in earnest.
        bench.clock.advance(absl::Microseconds(500));
    }
    std::vector<std::string> waiting;
    waiting.reserve(size_t { decisions } + static_cast<size_t>(busy));
    for (int i = 0; i < decisions + busy; ++i)
        waiting.push_back(bench.submit());
    const auto cancelled = std::min<size_t>(decisions, bench.dispatcher.queued());
    std::reverse(waiting.begin(), waiting.end());
    const double wave = microsFor([&] {
        for (size_t i = 0; i < cancelled; ++i)
            bench.dispatcher.cancel(waiting[i]);
    });
    return { { "executors", executors }, { "placeP50Micros", place.quantile(0.5) },
        { "placeP99Micros", place.quantile(0.99) }, { "placeMaxMicros", place.quantile(1) },
        { "finishP99Micros", finish.quantile(0.99) }, { "cancelled", cancelled },
        { "cancelMicrosEach", cancelled ? wave / static_cast<double>(cancelled) : 0 } };
}

} // namespace

int main(int argc, char** argv)
{
    Json all = Json::array();
    std::printf("%9s %12s %12s %12s %13s %10s %14s\n", "EXECUTORS", "PLACE P50 us", "PLACE P99 us", "PLACE MAX us",
        "FINISH P99 us", "CANCELLED", "CANCEL us EACH");
    for (const int executors : { 50, 500, 3000 }) {
        const Json row = measure(executors);
        std::printf("%9d %12.1f %12.1f %12.1f %13.1f %10d %14.2f\n", executors, row["placeP50Micros"].get<double>(),
            row["placeP99Micros"].get<double>(), row["placeMaxMicros"].get<double>(),
            row["finishP99Micros"].get<double>(), row["cancelled"].get<int>(), row["cancelMicrosEach"].get<double>());
        all.push_back(row);
    }
    if (argc == 3 && std::string(argv[1]) == "--json")
        std::ofstream(argv[2]) << all.dump(1) << "\n";
    return 0;
}
