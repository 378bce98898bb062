#pragma once

/** \file
 * The outcome of a request, as reported to its caller. There are three outcomes, and none is ever guessed.
 */

#include "absl/strings/string_view.h"

namespace cicada {

/** The outcome of one request. */
enum class Outcome {
    /** It ran, and its whole response was received. */
    Ran,
    /** It did not run, and nothing that was sent can still start it. */
    NotRun,
    /** It may have run. It is not run again. */
    Unknown,
};

/** The outcome as the Cicada-Outcome header carries it. */
constexpr absl::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace cicada
