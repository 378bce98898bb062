#pragma once

/** \file
 * What entries know of each other: one record for each incarnation of an entry, as it is kept in the store.
 */

#include "absl/strings/string_view.h"

#include <optional>
#include <string>

namespace cicada {

/** One incarnation of an entry, and the address at which its peers reach it. */
struct EntryRecord {
    std::string name;
    std::string incarnation;
    std::string peerAddress;
    std::string region;
    /** The processor share that the entry may use, in processors; cells go to the entries with the largest share. */
    double processors = 0;
    /** Whether the store is reached over a slow link; every write of an owner would pay that latency. */
    bool isFarFromStore = false;

    bool isSameIncarnation(const EntryRecord& other) const
    {
        return name == other.name && incarnation == other.incarnation;
    }
};

std::string encodeEntry(const EntryRecord&);
/** Returns nothing when the bytes are not a valid record. */
std::optional<EntryRecord> decodeEntry(absl::string_view bytes);

} // namespace cicada
