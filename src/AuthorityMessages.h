#pragma once

/** \file
 * Messages between a holder of authority and its guardians.
 */

#include "Error.h"

#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>

namespace cicada {

/** The holder's request to a guardian to extend its promise by one promise time. */
struct Renewal {
    /** Identifies the renewal that a promise replies to, from which the holder derives when it was sent. */
    uint64_t sequence = 0;
    uint64_t incarnation = 0;
    uint64_t version = 0;
    /** The incarnation of the guardian that the record names; any other incarnation must refuse. */
    uint64_t guardianIncarnation = 0;
};

/** The guardian's reply. If granted, the guardian takes no part in ending the holder for one promise time. */
struct Promise {
    uint64_t sequence = 0;
    uint64_t incarnation = 0;
    bool granted = false;
    uint64_t guardianIncarnation = 0;
    /** The holder's version as the guardian read it from the store; 0 if it has not read one. */
    uint64_t knownVersion = 0;
};

std::string encode(const Renewal&);
std::string encode(const Promise&);
Result<Renewal> decodeRenewal(absl::string_view bytes);
Result<Promise> decodePromise(absl::string_view bytes);

} // namespace cicada
