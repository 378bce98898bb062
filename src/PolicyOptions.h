#pragma once

/** \file
 * Which way of deciding is in use, by name: the standard one, or one of the baselines that it is compared with.
 */

#include "Admission.h"
#include "PeerLoads.h"
#include "RequestQueue.h"
#include "SlotReserve.h"

#include "absl/types/span.h"

#include <memory>
#include <optional>
#include <string>

namespace cicada {

/** A choice for each decision. */
struct PolicyOptions {
    enum class Order { FairDeadline, Fifo };
    enum class Refusal { InTime, None };
    enum class Reserve { Adaptive, None };
    enum class Spill { RegionFirst, LeastLoaded, Random };

    Order order = Order::FairDeadline;
    Refusal refusal = Refusal::InTime;
    Reserve reserve = Reserve::Adaptive;
    Spill spill = Spill::RegionFirst;
};

/** The names that policyOptions() knows, the standard one first. */
absl::Span<const absl::string_view> policyNames();
/** The choices behind a name; nothing when there is no such name. Each name but "standard" and "simple" changes one
 * decision only; "simple" changes all. */
std::optional<PolicyOptions> policyOptions(absl::string_view name);

std::unique_ptr<RequestQueue> makeRequestQueue(const PolicyOptions&);
std::unique_ptr<Admission> makeAdmission(const PolicyOptions&);
std::unique_ptr<SlotReserve> makeSlotReserve(const PolicyOptions&);
std::unique_ptr<PeerChoice> makePeerChoice(const PolicyOptions&);

} // namespace cicada
