#include "Error.h"

#include "absl/strings/str_cat.h"

namespace cicada {

absl::string_view errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSettings:
        return "invalid-settings";
    case ErrorKind::InvalidRequest:
        return "invalid-request";
    case ErrorKind::InvalidProfile:
        return "invalid-profile";
    case ErrorKind::UnknownProfile:
        return "unknown-profile";
    case ErrorKind::UnknownService:
        return "unknown-service";
    case ErrorKind::UnknownJob:
        return "unknown-job";
    case ErrorKind::DuplicateRequest:
        return "duplicate-request";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::TooLarge:
        return "too-large";
    case ErrorKind::TooBusy:
        return "too-busy";
    case ErrorKind::DeadlineExceeded:
        return "deadline-exceeded";
    case ErrorKind::Stopping:
        return "stopping";
    case ErrorKind::NoAuthority:
        return "no-authority";
    case ErrorKind::StoreUnavailable:
        return "store-unavailable";
    case ErrorKind::BackEndFailed:
        return "back-end-failed";
    case ErrorKind::PeerUnavailable:
        return "peer-unavailable";
    case ErrorKind::MalformedMessage:
        return "malformed-message";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

std::string describe(const Error& error)
{
    if (error.remedy.empty())
        return error.message;
    return absl::StrCat(error.message, " ", error.remedy);
}

} // namespace cicada
