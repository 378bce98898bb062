#pragma once

/** \file
 * What entries know of each other: one record for each life of an entry, as the store keeps it.
 */

#include "absl/strings/string_view.h"

#include <optional>
#include <string>

namespace cicada {

/** One life of an entry, and where its peers reach it. */
struct EntryRecord {
    std::string name;
    std::string incarnation;
    std::string peerAddress;
    std::string region;
    /** Its share of a processor, in processors; cells go to the entries with the most. */
    double processors = 0;
    /** Whether the store is a slow link away, which each write of an owner would pay for. */
    bool isFarFromStore = false;

    bool isSameIncarnation(const EntryRecord& other) const
    {
        return name == other.name && incarnation == other.incarnation;
    }
};

std::string encodeEntry(const EntryRecord&);
/** Nothing when the bytes are no record. */
std::optional<EntryRecord> decodeEntry(absl::string_view bytes);

} // namespace cicada
