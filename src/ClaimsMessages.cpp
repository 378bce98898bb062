#include "ClaimsMessages.h"

#include "Pack.h"

namespace cicada {

using Internal::packFields;
using Internal::unpackFields;

namespace {

    using PackedClaim = std::tuple<std::string, uint32_t, uint64_t, std::string, uint64_t, uint32_t, uint64_t>;

    Error outOfRange(absl::string_view what)
    {
        return { ErrorKind::MalformedMessage, absl::StrCat("A ", what, " message holds a value out of range."),
            "Check that all entries run the same version." };
    }

} // namespace

std::string encode(const ClaimRequest& m)
{
    return packFields(m.id, m.token, m.fingerprint, m.startWithinMs, m.supersedes, m.stamp);
}

std::string encode(const ClaimReply& m)
{
    return packFields(m.id, m.token, static_cast<uint8_t>(m.status), m.version, m.holder, m.holderToken,
        m.mayStartForMs, m.maxAgeMs, m.stamp);
}

std::string encode(const LocateRequest& m) { return packFields(m.locateId, m.id, m.token); }

std::string encode(const LocateReply& m) { return packFields(m.locateId, static_cast<uint8_t>(m.phase), m.address); }

Result<ClaimRequest> decodeClaimRequest(absl::string_view bytes)
{
    ClaimRequest m;
    BOOST_OUTCOME_TRY(
        unpackFields(bytes, "claim-ask", m.id, m.token, m.fingerprint, m.startWithinMs, m.supersedes, m.stamp));
    return m;
}

Result<ClaimReply> decodeClaimReply(absl::string_view bytes)
{
    ClaimReply m;
    uint8_t status = 0;
    BOOST_OUTCOME_TRY(unpackFields(bytes, "claim-reply", m.id, m.token, status, m.version, m.holder, m.holderToken,
        m.mayStartForMs, m.maxAgeMs, m.stamp));
    if (status > static_cast<uint8_t>(ClaimStatus::NotHome))
        return outOfRange("claim-reply");
    m.status = static_cast<ClaimStatus>(status);
    return m;
}

Result<LocateRequest> decodeLocateRequest(absl::string_view bytes)
{
    LocateRequest m;
    BOOST_OUTCOME_TRY(unpackFields(bytes, "claim-locate", m.locateId, m.id, m.token));
    return m;
}

Result<LocateReply> decodeLocateReply(absl::string_view bytes)
{
    LocateReply m;
    uint8_t phase = 0;
    BOOST_OUTCOME_TRY(unpackFields(bytes, "claim-located", m.locateId, phase, m.address));
    if (phase > static_cast<uint8_t>(AttemptPhase::Unknown))
        return outOfRange("claim-located");
    m.phase = static_cast<AttemptPhase>(phase);
    return m;
}

std::string encodeClaims(const std::vector<ClaimRecord>& claims)
{
    std::vector<PackedClaim> packed;
    packed.reserve(claims.size());
    for (const ClaimRecord& c : claims)
        packed.emplace_back(c.id, c.version, c.token, c.claimer, c.fingerprint, c.startWithinMs, c.epoch);
    return packFields(packed);
}

Result<std::vector<ClaimRecord>> decodeClaims(absl::string_view bytes)
{
    std::vector<PackedClaim> packed;
    BOOST_OUTCOME_TRY(unpackFields(bytes, "claims", packed));
    std::vector<ClaimRecord> claims;
    claims.reserve(packed.size());
    for (auto& [id, version, token, claimer, fingerprint, startWithinMs, epoch] : packed)
        claims.push_back({ std::move(id), version, token, std::move(claimer), fingerprint, startWithinMs, epoch });
    return claims;
}

} // namespace cicada
