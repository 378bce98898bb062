/** \file
 * Compares the standard policy with each baseline on the same arrivals: both users' mixes of work, through the
 * scenarios that the users named. Decisions are real; time is simulated. Prints a table and writes JSON.
 */

#include "Json.h"
#include "support/PolicyWorld.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <thread>

namespace {

using namespace cicada;
using namespace cicada::Testing;
using Internal::Json;

constexpr const char* usage = R"(Usage: policy-bench [options]
  -p, --policy NAME     only this policy (default: the standard one and every baseline)
  -s, --scenario NAME   only this scenario
  -m, --mix NAME        only this mix: cooperative or lumen
  -r, --seed N          of the arrivals (default 1)
  -t, --threads N       runs side by side (default 3)
  -j, --json FILE       write the results as JSON
)";

constexpr double steadyShare = 0.7;
constexpr double allSlots = PolicyWorld::executors * PolicyWorld::slotsEach;

struct Options {
    std::string policy;
    std::string scenario;
    std::string mix;
    std::string json;
    uint64_t seed = 1;
    int threads = 3;
};

/** A kind of work that needs `share` of all slots at steady load. */
Workload makeWorkload(Profile profile, double share, absl::Duration shortest, absl::Duration longest)
{
    Workload workload;
    profile.expectedRun = (shortest + longest) / 2;
    workload.rate = share * steadyShare * allSlots / absl::ToDoubleSeconds(profile.expectedRun);
    workload.profile = std::move(profile);
    workload.minRun = shortest;
    workload.maxRun = longest;
    return workload;
}

Profile makeProfile(const std::string& name, absl::Duration maxWait, ShortageAction whenShort, int urgency)
{
    Profile profile;
    profile.name = name;
    profile.maxWait = maxWait;
    profile.whenShort = whenShort;
    profile.urgency = urgency;
    profile.mayRunTwice = whenShort == ShortageAction::Shed;
    return profile;
}

std::vector<Workload> cooperativeMix()
{
    Workload check = makeWorkload(makeProfile("stock-check", absl::Milliseconds(800), ShortageAction::Shed, 8), 0.35,
        absl::Milliseconds(10), absl::Milliseconds(30));
    check.swings = true;
    check.bodyBytes = 300;
    Workload tally = makeWorkload(makeProfile("reorder-tally", absl::Seconds(5), ShortageAction::Wait, 5), 0.2,
        absl::Milliseconds(50), absl::Milliseconds(150));
    tally.bodyBytes = 4000;
    Workload quote = makeWorkload(makeProfile("tender-quote", absl::Seconds(60), ShortageAction::Wait, 3), 0.45,
        absl::Seconds(1), absl::Seconds(20));
    quote.isHeavy = true;
    quote.bodyBytes = 200000;
    return { check, tally, quote };
}

std::vector<Workload> lumenMix()
{
    Workload proof = makeWorkload(makeProfile("quick-proof", absl::Milliseconds(500), ShortageAction::Shed, 8), 0.4,
        absl::Milliseconds(50), absl::Milliseconds(150));
    proof.swings = true;
    proof.bodyBytes = 30000;
    Workload render = makeWorkload(makeProfile("heavy-render", absl::Seconds(120), ShortageAction::Wait, 3), 0.6,
        absl::Seconds(5), absl::Seconds(30));
    render.isHeavy = true;
    render.bodyBytes = 2000000;
    return { proof, render };
}

std::vector<Scenario> allScenarios()
{
    Scenario steady;
    steady.name = "steady";
    Scenario light = steady;
    light.name = "steady-no-heavy";
    light.withHeavy = false;
    Scenario swing = steady;
    swing.name = "swing-5x";
    swing.swing = 5;
    Scenario heavyWave = steady;
    heavyWave.name = "heavy-wave";
    heavyWave.heavySwing = 4;
    Scenario stragglers = steady;
    stragglers.name = "stragglers";
    stragglers.stragglers = 0.02;
    Scenario declared = swing;
    declared.name = "declared-10x-off";
    declared.declaredError = 10;
    Scenario cut = steady;
    cut.name = "region-cut";
    cut.cutsRegion = true;
    Scenario hot = steady;
    hot.name = "hot-region";
    hot.hotRegion = 2.5;
    return { steady, light, swing, heavyWave, stragglers, declared, cut, hot };
}

/** One run to be made, and its result. */
struct Trial {
    std::string mix;
    Scenario scenario;
    std::string policy;
    PolicyResult result;
};

std::vector<Trial> planTrials(const Options& options)
{
    std::vector<Trial> trials;
    for (const char* mix : { "cooperative", "lumen" }) {
        for (const Scenario& scenario : allScenarios()) {
            for (const absl::string_view policy : policyNames()) {
                const bool isWanted = (options.mix.empty() || options.mix == mix)
                    && (options.scenario.empty() || options.scenario == scenario.name)
                    && (options.policy.empty() || options.policy == policy);
                if (isWanted)
                    trials.push_back({ mix, scenario, std::string(policy), {} });
            }
        }
    }
    return trials;
}

void runTrials(std::vector<Trial>& trials, const Options& options)
{
    std::atomic<size_t> next { 0 };
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(options.threads));
    for (int i = 0; i < options.threads; ++i) {
        threads.emplace_back([&] {
            for (size_t at = next++; at < trials.size(); at = next++) {
                Trial& trial = trials[at];
                PolicyWorld world(trial.mix == "lumen" ? lumenMix() : cooperativeMix(), trial.scenario,
                    *policyOptions(trial.policy), options.seed);
                trial.result = world.run();
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
}

void printTrial(const Trial& trial)
{
    const PolicyResult& result = trial.result;
    for (size_t i = 0; i < result.kinds.size(); ++i) {
        const KindResult& kind = result.kinds[i];
        std::printf("%-12s %-17s %-13s %-14s %8llu %8llu %8llu %7.2f%% %8.1f %8.1f", trial.mix.c_str(),
            trial.scenario.name.c_str(), trial.policy.c_str(), kind.profile.c_str(),
            static_cast<unsigned long long>(kind.offered), static_cast<unsigned long long>(kind.refused),
            static_cast<unsigned long long>(kind.late), kind.inTime() * 100, kind.waitQuantile(0.5),
            kind.waitQuantile(0.99));
        if (i == 0)
            std::printf(" %7.1f%% %6.2f%% %10.1f %6.0f %4llu %4llu", result.goodput * 100, result.acrossRegions * 100,
                static_cast<double>(result.bytesAcrossRegions) / 1e6, result.digestBytesPerSecond,
                static_cast<unsigned long long>(result.overcommitted), static_cast<unsigned long long>(result.leaked));
        std::printf("\n");
    }
}

Json toJson(const Trial& trial)
{
    Json kinds = Json::array();
    for (const KindResult& kind : trial.result.kinds)
        kinds.push_back({ { "profile", kind.profile }, { "offered", kind.offered }, { "refused", kind.refused },
            { "late", kind.late }, { "started", kind.started }, { "inTime", kind.inTime() },
            { "waitP50Ms", kind.waitQuantile(0.5) }, { "waitP99Ms", kind.waitQuantile(0.99) } });
    return { { "mix", trial.mix }, { "scenario", trial.scenario.name }, { "policy", trial.policy }, { "kinds", kinds },
        { "goodput", trial.result.goodput }, { "acrossRegions", trial.result.acrossRegions },
        { "bytesAcrossRegions", trial.result.bytesAcrossRegions },
        { "digestBytesPerSecond", trial.result.digestBytesPerSecond }, { "overcommitted", trial.result.overcommitted },
        { "leaked", trial.result.leaked } };
}

void report(const std::vector<Trial>& trials, const Options& options)
{
    std::printf("%-12s %-17s %-13s %-14s %8s %8s %8s %8s %8s %8s %8s %7s %10s %6s %4s %4s\n", "MIX", "SCENARIO",
        "POLICY", "PROFILE", "OFFERED", "REFUSED", "LATE", "IN TIME", "P50 ms", "P99 ms", "GOODPUT", "ACROSS",
        "ACROSS MB", "B/s", "OVER", "LEAK");
    Json document { { "seed", options.seed }, { "trials", Json::array() } };
    for (const Trial& trial : trials) {
        printTrial(trial);
        document["trials"].push_back(toJson(trial));
    }
    if (!options.json.empty())
        std::ofstream(options.json) << document.dump(1) << "\n";
}

bool readOptions(int argc, char** argv, Options& options)
{
    const option known[]
        = { { "policy", required_argument, nullptr, 'p' }, { "scenario", required_argument, nullptr, 's' },
              { "mix", required_argument, nullptr, 'm' }, { "seed", required_argument, nullptr, 'r' },
              { "threads", required_argument, nullptr, 't' }, { "json", required_argument, nullptr, 'j' }, {} };
    for (int found; (found = getopt_long(argc, argv, "p:s:m:r:t:j:", known, nullptr)) != -1;) {
        if (found == 'p' && policyOptions(optarg))
            options.policy = optarg;
        else if (found == 's')
            options.scenario = optarg;
        else if (found == 'm')
            options.mix = optarg;
        else if (found == 'j')
            options.json = optarg;
        else if (found == 'r' || found == 't') {
            const bool isRead
                = found == 'r' ? absl::SimpleAtoi(optarg, &options.seed) : absl::SimpleAtoi(optarg, &options.threads);
            if (!isRead)
                return false;
        } else
            return false;
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    if (!readOptions(argc, argv, options)) {
        std::cerr << usage;
        return 2;
    }
    std::vector<Trial> trials = planTrials(options);
    runTrials(trials, options);
    report(trials, options);
    return 0;
}
