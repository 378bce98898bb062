/** \file
 * Placement of tasks on workers: how long a decision takes as the fleet grows, and how well each score packs the same
 * tasks, against the least number of workers that their total demand allows. Prints a table, and JSON with --json.
 */

#include "Job.h"
#include "TaskPlacement.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace cicada;

constexpr uint64_t seed = 20261204;
constexpr int decisions = 20000;
constexpr const char* scores[] = { "best-fit", "first-fit", "worst-fit", "random" };

/** A worker of the Co-operative's size; one in eight has accelerators, as at the letter's size. */
WorkerAllocation makeWorker(size_t index)
{
    WorkerAllocation worker;
    worker.name = absl::StrCat("w", index);
    worker.rack = absl::StrCat("r", index / 8);
    worker.failureDomain = absl::StrCat("d", index % 17);
    worker.capacity = { 64000, int64_t { 256 } * 1024, index % 8 == 0 ? 8 : 0 };
    worker.usable = true;
    return worker;
}

/** Mostly small tasks with few cores, some heavy in memory, a few large ones, one in twenty with accelerators. */
std::vector<Resources> makeTasks(size_t count, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> chance(0, 1);
    std::vector<Resources> tasks;
    for (size_t i = 0; i < count; ++i) {
        const double kind = chance(random);
        const double size = std::exp(std::normal_distribution<double>(0, 0.8)(random));
        Resources task;
        task.cpuMillis = std::clamp<int64_t>(static_cast<int64_t>(2000 * size), 100, kind > 0.95 ? 48000 : 16000);
        const double memoryPerCore = kind < 0.25 ? 10 * 1024 : 3 * 1024;
        task.memoryMiB
            = std::clamp<int64_t>(static_cast<int64_t>(memoryPerCore * static_cast<double>(task.cpuMillis) / 1000), 64,
                int64_t { 160 } * 1024);
        task.accelerators = chance(random) < 0.05 ? 1 : 0;
        tasks.push_back(task);
    }
    return tasks;
}

struct Timing {
    double p50Micros = 0;
    double p99Micros = 0;
};

/** Times decisions on a fleet at about 80% load, where each decision's task replaces an earlier one. */
Timing timeDecisions(size_t workers, bool spread)
{
    std::mt19937_64 random(seed);
    WorkerLedger ledger;
    for (size_t i = 0; i < workers; ++i)
        ledger.upsert(makeWorker(i));
    const auto score = makePlacementScore("best-fit");
    std::vector<std::pair<std::string, Resources>> placed;
    Resources used;
    const std::vector<Resources> tasks = makeTasks(workers * 40 + decisions, random);
    size_t next = 0;
    while (used.cpuMillis < static_cast<int64_t>(workers) * 64000 * 8 / 10 && next < workers * 40) {
        const Resources& task = tasks[next++];
        // Filling is not timed, so it goes to the first worker in turn that has room.
        const WorkerAllocation& worker = ledger.all()[next % workers];
        if (!fits(task, worker.capacity - worker.used))
            continue;
        ledger.take(worker.name, task);
        placed.emplace_back(worker.name, task);
        used = used + task;
    }
    SpreadCounts counts;
    std::vector<double> micros;
    for (int i = 0; i < decisions; ++i) {
        const Resources& task = tasks[workers * 40 + static_cast<size_t>(i)];
        const int64_t start = absl::GetCurrentTimeNanos();
        const WorkerAllocation* worker = ledger.choose(task, *score, spread ? &counts : nullptr);
        micros.push_back(static_cast<double>(absl::GetCurrentTimeNanos() - start) / 1000);
        auto& victim = placed[random() % placed.size()];
        ledger.give(victim.first, victim.second);
        if (worker) {
            if (spread && i % 100 < 20)
                counts.add(*worker);
            victim = { worker->name, task };
            ledger.take(worker->name, task);
        } else {
            ledger.take(victim.first, victim.second);
        }
    }
    std::sort(micros.begin(), micros.end());
    return { micros[micros.size() / 2], micros[micros.size() * 99 / 100] };
}

/** The least number of workers that the total demand of each resource allows; no packing can need fewer. */
size_t minWorkers(const std::vector<Resources>& tasks)
{
    Resources total;
    for (const Resources& task : tasks)
        total = total + task;
    size_t workers = 0;
    Resources room;
    while (!fits(total, room))
        room = room + makeWorker(workers++).capacity;
    return workers;
}

/** How many workers are in use when all tasks are placed in their order, on a fleet with enough of them. */
size_t workersUsed(const std::vector<Resources>& tasks, const char* scoreName)
{
    WorkerLedger ledger;
    const size_t fleet = minWorkers(tasks) * 2;
    for (size_t i = 0; i < fleet; ++i)
        ledger.upsert(makeWorker(i));
    const auto score = makePlacementScore(scoreName, seed);
    size_t unplaced = 0;
    for (const Resources& task : tasks) {
        if (const WorkerAllocation* worker = ledger.choose(task, *score, nullptr))
            ledger.take(worker->name, task);
        else
            ++unplaced;
    }
    if (unplaced > 0)
        std::cerr << scoreName << ": " << unplaced << " tasks found no worker\n";
    return static_cast<size_t>(std::count_if(ledger.all().begin(), ledger.all().end(),
        [](const WorkerAllocation& worker) { return worker.used.cpuMillis > 0; }));
}

/** How much of a fixed fleet's scarcer resource is in use, at the first task refused and when all were tried: churn
 * takes a tenth of the tasks away and brings new ones, so that holes have to be filled. */
double shareInUse(size_t workers, const char* scoreName)
{
    std::mt19937_64 random(seed);
    WorkerLedger ledger;
    for (size_t i = 0; i < workers; ++i)
        ledger.upsert(makeWorker(i));
    const auto score = makePlacementScore(scoreName, seed);
    std::vector<std::pair<std::string, Resources>> placed;
    for (int round = 0; round < 20; ++round) {
        for (const Resources& task : makeTasks(workers * 25, random)) {
            if (const WorkerAllocation* worker = ledger.choose(task, *score, nullptr)) {
                placed.emplace_back(worker->name, task);
                ledger.take(placed.back().first, task);
            }
        }
        std::shuffle(placed.begin(), placed.end(), random);
        if (round == 19)
            break;
        for (size_t i = placed.size() / 10; i > 0; --i) {
            ledger.give(placed.back().first, placed.back().second);
            placed.pop_back();
        }
    }
    Resources used;
    Resources capacity;
    for (const WorkerAllocation& worker : ledger.all()) {
        used = used + worker.used;
        capacity = capacity + worker.capacity;
    }
    return std::max(static_cast<double>(used.cpuMillis) / static_cast<double>(capacity.cpuMillis),
        static_cast<double>(used.memoryMiB) / static_cast<double>(capacity.memoryMiB));
}

} // namespace

int main(int argc, char** argv)
{
    const bool json = argc > 1 && std::string(argv[1]) == "--json";
    std::string text = "{\"decision\":[";
    absl::PrintF("placement decision, best-fit, %d decisions at 80%% load, seed %d\n", decisions, seed);
    absl::PrintF("%8s %8s %10s %10s\n", "workers", "spread", "p50 us", "p99 us");
    for (const size_t workers : { 50, 1000, 17000 }) {
        for (const bool spread : { false, true }) {
            const Timing timing = timeDecisions(workers, spread);
            absl::PrintF("%8d %8s %10.2f %10.2f\n", workers, spread ? "yes" : "no", timing.p50Micros, timing.p99Micros);
            absl::StrAppend(&text, text.back() == '[' ? "" : ",", "{\"workers\":", workers, ",\"spread\":", spread,
                ",\"p50Micros\":", timing.p50Micros, ",\"p99Micros\":", timing.p99Micros, "}");
        }
    }
    std::mt19937_64 random(seed);
    const std::vector<Resources> tasks = makeTasks(5000, random);
    const size_t bound = minWorkers(tasks);
    absl::PrintF("\npacking of %d tasks; the total demand needs at least %d workers\n", tasks.size(), bound);
    absl::PrintF("%12s %8s %10s %22s\n", "score", "workers", "of bound", "in use after churn");
    absl::StrAppend(&text, "],\"bound\":", bound, ",\"packing\":[");
    for (const char* score : scores) {
        const size_t used = workersUsed(tasks, score);
        const double share = static_cast<double>(bound) / static_cast<double>(used);
        const double inUse = shareInUse(50, score);
        absl::PrintF("%12s %8d %9.1f%% %21.1f%%\n", score, used, 100 * share, 100 * inUse);
        absl::StrAppend(&text, text.back() == '[' ? "" : ",", "{\"score\":\"", score, "\",\"workers\":", used,
            ",\"ofBound\":", share, ",\"inUse\":", inUse, "}");
    }
    if (json)
        std::cout << text << "]}\n";
    return 0;
}
