#include "PolicyOptions.h"

#include <array>

namespace cicada {

namespace {

    constexpr std::array<absl::string_view, 7> names
        = { "standard", "fifo", "no-admission", "no-reserve", "least-loaded", "random", "simple" };

} // namespace

absl::Span<const absl::string_view> policyNames() { return names; }

std::optional<PolicyOptions> policyOptions(absl::string_view name)
{
    PolicyOptions options;
    if (name == "standard")
        return options;
    if (name == "fifo")
        options.order = PolicyOptions::Order::Fifo;
    else if (name == "no-admission")
        options.refusal = PolicyOptions::Refusal::None;
    else if (name == "no-reserve")
        options.reserve = PolicyOptions::Reserve::None;
    else if (name == "least-loaded")
        options.spill = PolicyOptions::Spill::LeastLoaded;
    else if (name == "random")
        options.spill = PolicyOptions::Spill::Random;
    else if (name == "simple")
        options = { PolicyOptions::Order::Fifo, PolicyOptions::Refusal::None, PolicyOptions::Reserve::None,
            PolicyOptions::Spill::Random };
    else
        return std::nullopt;
    return options;
}

std::unique_ptr<RequestQueue> makeRequestQueue(const PolicyOptions& options)
{
    if (options.order == PolicyOptions::Order::Fifo)
        return std::make_unique<FifoQueue>();
    return std::make_unique<FairDeadlineQueue>();
}

std::unique_ptr<Admission> makeAdmission(const PolicyOptions& options)
{
    if (options.refusal == PolicyOptions::Refusal::None)
        return std::make_unique<AdmitAll>();
    return std::make_unique<AdmitInTime>();
}

std::unique_ptr<SlotReserve> makeSlotReserve(const PolicyOptions& options)
{
    if (options.reserve == PolicyOptions::Reserve::None)
        return std::make_unique<NoReserve>();
    return std::make_unique<AdaptiveReserve>();
}

std::unique_ptr<PeerChoice> makePeerChoice(const PolicyOptions& options)
{
    if (options.spill == PolicyOptions::Spill::LeastLoaded)
        return std::make_unique<LeastLoadedChoice>();
    return std::make_unique<RandomChoice>();
}

} // namespace cicada
