#pragma once

/** \file
 * What a holder of authority and its guardians say to each other.
 */

#include "Error.h"

#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>

namespace cicada {

/** "Promise me one promise time more." */
struct Renewal {
    /** Tells the holder which of its renewals a promise answers, and thus when it was sent. */
    uint64_t sequence = 0;
    uint64_t incarnation = 0;
    uint64_t version = 0;
    /** The incarnation of the guardian that the record names; any other one must refuse. */
    uint64_t guardianIncarnation = 0;
};

/** The guardian's answer. When granted it takes no part in ending the holder for one promise time. */
struct Promise {
    uint64_t sequence = 0;
    uint64_t incarnation = 0;
    bool granted = false;
    uint64_t guardianIncarnation = 0;
    /** The holder's version as the guardian read it in the store; 0 when it has not. */
    uint64_t knownVersion = 0;
};

std::string encode(const Renewal&);
std::string encode(const Promise&);
Result<Renewal> decodeRenewal(absl::string_view bytes);
Result<Promise> decodePromise(absl::string_view bytes);

} // namespace cicada
