/** \file
 * A complete example of embedding the library: a single-process program that keeps an exact count of its executors'
 * slots with the same classes as the daemon. It implements Ownership itself and advances its own clock.
 */

#include "Clock.h"
#include "Profile.h"
#include "SlotLedger.h"

#include <iostream>

namespace {

using namespace cicada;

/** Ownership for a single process: it owns everything, permanently, under one epoch. */
class SoleOwner final : public Ownership {
public:
    std::optional<Term> term(absl::string_view) const override { return Term { 1, absl::InfiniteDuration() }; }
    std::string owner(absl::string_view) const override { return "self"; }
    void onChange(Observer) override { }
};

BackEnd makeExecutor(const std::string& name, uint32_t slots)
{
    BackEnd executor;
    executor.name = name;
    executor.service = "order-desk";
    executor.slots = slots;
    return executor;
}

} // namespace

int main()
{
    auto profile = parseProfile("stock-check", R"({"maxWaitMs": 800, "mayRunTwice": true, "whenShort": "shed"})");
    if (!profile) {
        std::cerr << describe(profile.error()) << "\n";
        return 1;
    }
    ManualClock clock;
    SoleOwner ownership;
    BackEnds backEnds;
    backEnds.update({ makeExecutor("desk-1", 2), makeExecutor("desk-2", 2) });
    SlotLedger ledger(backEnds, ownership, clock);

    std::vector<SlotGrant> grants;
    while (auto grant = ledger.take("order-desk", "request", "self")) {
        std::cout << "started on " << grant->executor << "\n";
        grants.push_back(*grant);
    }
    std::cout << grants.size() << " slots are in use; a fifth request may wait "
              << absl::FormatDuration(profile.value().maxWait) << "\n";
    clock.advance(absl::Milliseconds(20));
    ledger.finish(grants.front().id, { RunVerdict::Succeeded, absl::Milliseconds(20) });
    std::cout << ledger.freeSlots("order-desk") << " slot is free again\n";
    return grants.size() == 4 && ledger.freeSlots("order-desk") == 1 ? 0 : 1;
}
