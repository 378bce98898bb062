#pragma once

/** \file
 * The scheduling policies by name: the standard policy, and the baselines that it is compared with.
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

/** One option for each scheduling decision. */
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

/** The names that policyOptions() accepts, "standard" first. */
absl::Span<const absl::string_view> policyNames();
/** Returns the options of a named policy, or nothing if the name is unknown. Every policy except "standard" and
 * "simple" differs from "standard" in one decision; "simple" differs in all. */
std::optional<PolicyOptions> policyOptions(absl::string_view name);

std::unique_ptr<RequestQueue> makeRequestQueue(const PolicyOptions&);
std::unique_ptr<Admission> makeAdmission(const PolicyOptions&);
std::unique_ptr<SlotReserve> makeSlotReserve(const PolicyOptions&);
std::unique_ptr<PeerChoice> makePeerChoice(const PolicyOptions&);

} // namespace cicada
