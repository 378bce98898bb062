#include "LoadPlan.h"

#include "Json.h"
#include "Uuid.h"

#include <random>

namespace cicada {

namespace {

    using Internal::Json;

    constexpr absl::string_view schemaText = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["kinds"],
  "properties": {
    "rate": {"type": "number", "minimum": 0.1, "maximum": 100000},
    "seconds": {"type": "number", "minimum": 0.1, "maximum": 3600},
    "swing": {
      "type": "object",
      "additionalProperties": false,
      "required": ["factor", "fromSeconds", "toSeconds"],
      "properties": {
        "factor": {"type": "number", "minimum": 0, "maximum": 1000},
        "fromSeconds": {"type": "number", "minimum": 0},
        "toSeconds": {"type": "number", "minimum": 0}
      }
    },
    "kinds": {
      "type": "array",
      "minItems": 1,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "service", "profile"],
        "properties": {
          "name": {"type": "string"},
          "service": {"type": "string"},
          "profile": {"type": "string"},
          "share": {"type": "number", "minimum": 0},
          "workMs": {"type": "integer", "minimum": 0},
          "stragglerShare": {"type": "number", "minimum": 0, "maximum": 1},
          "stragglerFactor": {"type": "integer", "minimum": 1},
          "bodyBytes": {"type": "integer", "minimum": 0, "maximum": 16777216},
          "retry": {"type": "boolean"}
        }
      }
    }
  }
})";

    LoadKind readKind(const Json& item)
    {
        LoadKind kind;
        kind.name = item.at("name").get<std::string>();
        kind.service = item.at("service").get<std::string>();
        kind.profile = item.at("profile").get<std::string>();
        kind.share = item.value("share", kind.share);
        kind.workMs = item.value("workMs", kind.workMs);
        kind.stragglerShare = item.value("stragglerShare", kind.stragglerShare);
        kind.stragglerFactor = item.value("stragglerFactor", kind.stragglerFactor);
        kind.bodyBytes = item.value("bodyBytes", kind.bodyBytes);
        kind.retry = item.value("retry", kind.retry);
        return kind;
    }

} // namespace

Result<LoadPlan> parseLoadPlan(absl::string_view json)
{
    BOOST_OUTCOME_TRY(document, Internal::parseJson(json, "load plan", ErrorKind::InvalidRequest));
    BOOST_OUTCOME_TRY(Internal::checkSchema(document, schemaText, "load plan", ErrorKind::InvalidRequest));
    LoadPlan plan;
    plan.rate = document.value("rate", plan.rate);
    plan.duration = absl::Seconds(document.value("seconds", absl::ToDoubleSeconds(plan.duration)));
    if (document.contains("swing")) {
        plan.swingFactor = document["swing"]["factor"].get<double>();
        plan.swingFrom = absl::Seconds(document["swing"]["fromSeconds"].get<double>());
        plan.swingTo = absl::Seconds(document["swing"]["toSeconds"].get<double>());
    }
    for (const Json& item : document["kinds"])
        plan.kinds.push_back(readKind(item));
    return plan;
}

std::vector<PlannedRequest> generateRequests(const LoadPlan& plan, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<double> shares;
    for (const LoadKind& kind : plan.kinds)
        shares.push_back(kind.share);
    std::discrete_distribution<size_t> kindDistribution(shares.begin(), shares.end());
    std::vector<PlannedRequest> requests;
    absl::Duration sendOffset;
    while (true) {
        const bool swinging = sendOffset >= plan.swingFrom && sendOffset < plan.swingTo;
        const double rate = plan.rate * (swinging ? plan.swingFactor : 1);
        sendOffset += absl::Seconds(std::exponential_distribution<double>(rate)(random));
        if (sendOffset >= plan.duration)
            return requests;
        // Ids don't depend on the seed: otherwise a second load with the same seed would repeat the ids of the first.
        PlannedRequest request { sendOffset, kindDistribution(random), 0, randomUuid() };
        const LoadKind& kind = plan.kinds[request.kind];
        const bool isStraggler = std::bernoulli_distribution(kind.stragglerShare)(random);
        request.workMs = kind.workMs * (isStraggler ? kind.stragglerFactor : 1);
        requests.push_back(std::move(request));
    }
}

} // namespace cicada
