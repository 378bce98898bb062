/** \file
 * What a claim costs: its latency and the store's writes at growing rates of requests, and what a successor reads. Time
 * is the paused clock's, with a store of 3 ms; the processor time is real.
 */

#include "Journal.h"
#include "support/ClaimsWorld.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <ctime>
#include <iostream>

using namespace cicada;
using Testing::ClaimsWorld;

namespace {

constexpr size_t entryCount = 8;
constexpr absl::Duration measured = absl::Seconds(20);
constexpr absl::Duration storeDelayEachWay = absl::Milliseconds(3);

double processorSeconds() { return static_cast<double>(std::clock()) / CLOCKS_PER_SEC; }

double percentile(std::vector<double>& values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
}

uint64_t writesOf(ClaimsWorld& all)
{
    uint64_t writes = 0;
    for (auto& entry : all.entries)
        writes += entry->node().counts().writes;
    return writes;
}

/** Claims alone: each is closed as soon as it is granted. */
void measure(int rate)
{
    ClaimsWorld all(1, entryCount, 1);
    all.world.setMaxStoreDelay(storeDelayEachWay);
    all.retention = absl::Seconds(600);
    all.run(absl::Seconds(1));
    std::vector<double> millis;
    const double processorBefore = processorSeconds();
    const int total = rate * static_cast<int>(absl::ToInt64Seconds(measured));
    for (int i = 0; i < total; ++i) {
        const absl::Duration sentAt = all.world.now();
        all.entries[static_cast<size_t>(i) % entryCount]->claimOnly(absl::StrCat("00000000-0000-0000-0000-", i),
            [&all, &millis, sentAt] { millis.push_back(absl::ToDoubleMilliseconds(all.world.now() - sentAt)); });
        all.run(absl::Seconds(1) / rate);
    }
    all.run(absl::Seconds(1));
    const double processor = processorSeconds() - processorBefore;
    size_t bytes = 0;
    std::vector<StoreEntry> segments;
    for (const auto& [key, entry] : all.world.stored()) {
        bytes += entry.value.size();
        segments.push_back(entry);
    }
    const double readBefore = processorSeconds();
    size_t read = 0;
    for (const StoreEntry& segment : segments)
        read += decodeClaims(segment.value).value().size();
    const double reading = processorSeconds() - readBefore;
    std::cout << absl::StrFormat("%8d %8zu %8.1f %8.1f %8.1f %14.2f %12.1f %10.1f %16.2f\n", rate, millis.size(),
        percentile(millis, 0.5), percentile(millis, 0.99), percentile(millis, 1),
        static_cast<double>(writesOf(all)) / entryCount / absl::ToDoubleSeconds(measured),
        static_cast<double>(bytes) / total, 1e6 * processor / total, 1e6 * reading / static_cast<double>(read));
}

} // namespace

int main()
{
    std::cout
        << "Claims, " << entryCount << " entries, store of up to 3 ms each way, 20 s each\n"
        << "claims/s  granted   p50 ms   p99 ms   max ms  writes/s/entry  bytes/claim  us/claim  us/claim to read\n";
    for (const int rate : { 10, 100, 1000, 2000 })
        measure(rate);
    return 0;
}
