#include "WorkerOrders.h"

namespace cicada {

absl::string_view orderStatusName(OrderStatus status)
{
    switch (status) {
    case OrderStatus::Done:
        return "done";
    case OrderStatus::Fenced:
        return "fenced";
    case OrderStatus::StaleRun:
        return "stale-run";
    case OrderStatus::LeaseExpired:
        return "too-late";
    case OrderStatus::NoCapacity:
        return "no-room";
    case OrderStatus::NoTicket:
        return "no-ticket";
    case OrderStatus::Malformed:
        return "malformed";
    case OrderStatus::Unhealthy:
        return "unhealthy";
    case OrderStatus::OtherIncarnation:
        return "other-life";
    case OrderStatus::NotSent:
        return "not-sent";
    case OrderStatus::Congested:
        return "congested";
    case OrderStatus::NoReply:
        return "no-reply";
    }
    return "no-reply";
}

absl::string_view runEndingName(RunEnding ending)
{
    switch (ending) {
    case RunEnding::Finished:
        return "finished";
    case RunEnding::Failed:
        return "failed";
    case RunEnding::Stopped:
        return "stopped";
    case RunEnding::LeaseEnded:
        return "lease-ended";
    case RunEnding::GangBroken:
        return "gang-broken";
    case RunEnding::GangIncomplete:
        return "gang-incomplete";
    }
    return "failed";
}

} // namespace cicada
