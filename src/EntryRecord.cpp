#include "EntryRecord.h"

#include "Pack.h"

namespace cicada {

std::string encodeEntry(const EntryRecord& entry)
{
    return Internal::packFields(
        entry.name, entry.incarnation, entry.peerAddress, entry.region, entry.processors, entry.isFarFromStore);
}

std::optional<EntryRecord> decodeEntry(absl::string_view bytes)
{
    EntryRecord entry;
    if (!Internal::unpackFields(bytes, "entry record", entry.name, entry.incarnation, entry.peerAddress, entry.region,
            entry.processors, entry.isFarFromStore))
        return std::nullopt;
    return entry;
}

} // namespace cicada
