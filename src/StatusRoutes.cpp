#include "StatusRoutes.h"

#include "Json.h"

namespace cicada {

namespace {

    using Internal::Json;

    Json backEndJson(const StatusSources& sources, const BackEnd& backEnd)
    {
        const auto term = sources.ownership.term(backEnd.group());
        const auto phase = sources.health.phase(backEnd.name);
        return { { "name", backEnd.name }, { "service", backEnd.service }, { "region", backEnd.region },
            { "owner", sources.ownership.owner(backEnd.group()) }, { "epoch", term ? term->epoch : 0 },
            { "slots", backEnd.slots }, { "inUse", sources.ledger.inUse(backEnd.name) }, { "leaving", backEnd.leaving },
            { "phase", phase ? std::string(executorPhaseName(*phase)) : "" } };
    }

    Json authorityJson(const StatusSources& sources)
    {
        const absl::Duration remaining = sources.authority.until() - sources.clock.now();
        Json guardians = Json::array();
        for (const EntryId& guardian : sources.authority.guardians())
            guardians.push_back(guardian.name);
        return { { "incarnation", sources.authority.self().incarnation },
            { "remainingMs", std::max<int64_t>(0, absl::ToInt64Milliseconds(remaining)) }, { "guardians", guardians } };
    }

    Json memberJson(const Member& member)
    {
        return { { "name", member.name }, { "region", member.region }, { "failureDomain", member.failureDomain },
            { "address", member.address }, { "state", std::string(memberStateName(member.state)) },
            { "incarnation", member.incarnation }, { "version", member.version } };
    }

    Json statusJson(const StatusSources& sources)
    {
        Json members = Json::array();
        for (const Member& member : sources.membership.members())
            members.push_back(memberJson(member));
        Json backEnds = Json::array();
        for (const BackEnd& backEnd : sources.backEnds.all())
            backEnds.push_back(backEndJson(sources, backEnd));
        const StoreCallCounts calls = sources.store.counts();
        const PeerTraffic traffic = sources.peers.traffic();
        return {
            { "name", sources.settings.name },
            { "region", sources.settings.region },
            { "version", CICADA_VERSION },
            { "profileVersion", sources.profiles.version() },
            { "queued", sources.dispatcher.queued() },
            { "authority", authorityJson(sources) },
            { "members", members },
            { "backEnds", backEnds },
            { "store",
                { { "reads", calls.reads }, { "writes", calls.writes }, { "watches", calls.watches },
                    { "failures", calls.failures } } },
            { "peers",
                { { "messages", traffic.messages }, { "bytes", traffic.bytes },
                    { "bytesAcrossRegions", traffic.bytesAcrossRegions }, { "refused", traffic.refused } } },
        };
    }

    RouteResponse status(const StatusSources& sources)
    {
        Json document;
        sources.loop.call([&] { document = statusJson(sources); });
        return { 200, "application/json", document.dump(), {} };
    }

    RouteResponse metrics(const StatusSources& sources)
    {
        sources.loop.call([&] {
            const StoreCallCounts calls = sources.store.counts();
            const PeerTraffic traffic = sources.peers.traffic();
            sources.metrics.gauge("cicada_queued_requests", static_cast<double>(sources.dispatcher.queued()));
            const PlacementCounts& placed = sources.dispatcher.counts();
            sources.metrics.gauge("cicada_requests_refused_on_arrival", static_cast<double>(placed.refused));
            sources.metrics.gauge("cicada_requests_expired", static_cast<double>(placed.expired));
            sources.metrics.gauge("cicada_requests_started", static_cast<double>(placed.started));
            sources.metrics.gauge("cicada_requests_across_regions", static_cast<double>(placed.acrossRegions));
            sources.metrics.gauge(
                "cicada_request_bytes_across_regions", static_cast<double>(placed.bytesAcrossRegions));
            sources.metrics.gauge("cicada_store_reads", static_cast<double>(calls.reads));
            sources.metrics.gauge("cicada_store_writes", static_cast<double>(calls.writes));
            sources.metrics.gauge("cicada_store_watches", static_cast<double>(calls.watches));
            sources.metrics.gauge("cicada_peer_bytes", static_cast<double>(traffic.bytes));
            sources.metrics.gauge("cicada_peer_bytes_across_regions", static_cast<double>(traffic.bytesAcrossRegions));
        });
        return { 200, "text/plain; version=0.0.4", sources.metrics.text(), {} };
    }

} // namespace

void addStatusRoutes(Frontend& frontend, StatusSources sources)
{
    frontend.route("GET", "/v1/status", [sources](const RouteRequest&) { return status(sources); });
    frontend.route("GET", "/metrics", [sources](const RouteRequest&) { return metrics(sources); });
}

} // namespace cicada
