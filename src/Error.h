#pragma once

/** \file
 * Typed errors. Every failure that a caller or an operator can see has a kind for programs to act on, and for people a
 * message in full sentences and a remedy.
 */

#include "absl/strings/string_view.h"

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>

namespace cicada {

/** What went wrong, in terms that a program can act on. */
enum class ErrorKind {
    InvalidSettings,
    InvalidRequest,
    InvalidProfile,
    UnknownProfile,
    UnknownService,
    UnknownJob,
    DuplicateRequest,
    Conflict,
    TooLarge,
    TooBusy,
    DeadlineExceeded,
    Stopping,
    NoAuthority,
    StoreUnavailable,
    BackEndFailed,
    PeerUnavailable,
    MalformedMessage,
    Internal,
};

/** The stable name of a kind, as used in problem documents, logs and metrics. */
absl::string_view errorKindName(ErrorKind);

/** One failure. `message` says what happened; `remedy` says what to do about it. */
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::string remedy;
};

/** The message and the remedy as one line for people. */
std::string describe(const Error&);

/** Either a value or an Error. Reading the one that is not there terminates the process, because it is always a bug. */
template <typename T> using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::terminate>;

inline auto success() { return boost::outcome_v2::success(); }

} // namespace cicada
