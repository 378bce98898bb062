#pragma once

/** \file
 * The HTTP routes by which an entry reports its status to operators and its metrics to scrapers.
 */

#include "Authority.h"
#include "BackEnds.h"
#include "Dispatcher.h"
#include "EventLoop.h"
#include "ExecutorHealth.h"
#include "Frontend.h"
#include "Membership.h"
#include "Metrics.h"
#include "Ownership.h"
#include "ProfileRegistry.h"

namespace cicada {

/** The parts that the status and the metrics are read from. They must outlive the frontend. */
struct StatusSources {
    const Settings& settings;
    EventLoop& loop;
    Membership& membership;
    const Authority& authority;
    const Clock& clock;
    const Ownership& ownership;
    const SlotLedger& ledger;
    const BackEnds& backEnds;
    const ExecutorHealth& health;
    const Dispatcher& dispatcher;
    const ProfileRegistry& profiles;
    const Store& store;
    const PeerBus& peers;
    Metrics& metrics;
};

/** Adds GET /v1/status and GET /metrics. */
void addStatusRoutes(Frontend& frontend, StatusSources sources);

} // namespace cicada
