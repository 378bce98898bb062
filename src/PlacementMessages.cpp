#include "PlacementMessages.h"

#include "Pack.h"

namespace cicada {

using Internal::packFields;
using Internal::unpackFields;

std::string encode(const PlaceRequest& m)
{
    return packFields(m.askId, m.requestId, m.service, m.profile, m.isLong, m.expectedRunMicros);
}

std::string encode(const PlaceReply& m)
{
    return packFields(
        m.askId, m.granted, m.grantId, m.executor, m.address, m.epoch, m.startWithinMicros, m.freeSlots, m.freeForLong);
}

std::string encode(const PlaceDone& m)
{
    return packFields(m.grantId, static_cast<uint8_t>(m.report.verdict), absl::ToInt64Microseconds(m.report.runTime));
}

std::string encode(const LoadDigest& m)
{
    std::vector<std::tuple<std::string, uint32_t, uint32_t, uint32_t>> services;
    for (const ServiceLoad& load : m.services)
        services.emplace_back(load.service, load.freeSlots, load.freeForLong, load.queued);
    return packFields(m.region, m.isWhole, services);
}

Result<PlaceRequest> decodePlaceRequest(absl::string_view bytes)
{
    PlaceRequest m;
    BOOST_OUTCOME_TRY(unpackFields(
        bytes, placeRequestService, m.askId, m.requestId, m.service, m.profile, m.isLong, m.expectedRunMicros));
    return m;
}

Result<PlaceReply> decodePlaceReply(absl::string_view bytes)
{
    PlaceReply m;
    BOOST_OUTCOME_TRY(unpackFields(bytes, placeReplyService, m.askId, m.granted, m.grantId, m.executor, m.address,
        m.epoch, m.startWithinMicros, m.freeSlots, m.freeForLong));
    return m;
}

Result<PlaceDone> decodePlaceDone(absl::string_view bytes)
{
    PlaceDone m;
    uint8_t verdict = 0;
    int64_t runMicros = 0;
    BOOST_OUTCOME_TRY(unpackFields(bytes, placeDoneService, m.grantId, verdict, runMicros));
    if (verdict > static_cast<uint8_t>(RunVerdict::Unused))
        return Error { ErrorKind::MalformedMessage, "A place-done message has an unknown verdict.",
            "Check that all entries run the same version." };
    m.report = { static_cast<RunVerdict>(verdict), absl::Microseconds(runMicros) };
    return m;
}

Result<LoadDigest> decodeLoadDigest(absl::string_view bytes)
{
    std::vector<std::tuple<std::string, uint32_t, uint32_t, uint32_t>> services;
    LoadDigest m;
    BOOST_OUTCOME_TRY(unpackFields(bytes, "load-digest", m.region, m.isWhole, services));
    for (auto& [service, freeSlots, freeForLong, queued] : services)
        m.services.push_back({ std::move(service), freeSlots, freeForLong, queued });
    return m;
}

} // namespace cicada
