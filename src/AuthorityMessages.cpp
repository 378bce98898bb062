#include "AuthorityMessages.h"

#include "Pack.h"

namespace cicada {

using Internal::packFields;
using Internal::unpackFields;

std::string encode(const Renewal& m) { return packFields(m.sequence, m.incarnation, m.version, m.guardianIncarnation); }

std::string encode(const Promise& m)
{
    return packFields(m.sequence, m.incarnation, m.granted, m.guardianIncarnation, m.knownVersion);
}

Result<Renewal> decodeRenewal(absl::string_view bytes)
{
    Renewal m;
    BOOST_OUTCOME_TRY(unpackFields(bytes, "renewal", m.sequence, m.incarnation, m.version, m.guardianIncarnation));
    return m;
}

Result<Promise> decodePromise(absl::string_view bytes)
{
    Promise m;
    BOOST_OUTCOME_TRY(
        unpackFields(bytes, "promise", m.sequence, m.incarnation, m.granted, m.guardianIncarnation, m.knownVersion));
    return m;
}

} // namespace cicada
