#include "PlannedStopRegistry.h"

#include "Json.h"
#include "Pack.h"

#include "absl/strings/str_cat.h"

#include <glog/logging.h>

namespace cicada {

namespace {

    using Internal::Json;

    constexpr absl::string_view progressService = "stop-progress";

    Json parseBody(const std::string& body) { return body.empty() ? Json::object() : Json::parse(body); }

    Result<PlannedStop> readStop(const std::string& id, const Json& item)
    {
        try {
            BOOST_OUTCOME_TRY(kind, parseStopKind(item.at("kind").get<std::string>()));
            return PlannedStop { id, kind, item.at("target").get<std::string>() };
        } catch (const Json::exception& error) {
            return Error { ErrorKind::MalformedMessage, error.what(), "Cancel the stop and plan it again." };
        }
    }

} // namespace

absl::string_view stopKindName(StopKind kind)
{
    switch (kind) {
    case StopKind::BackEnd:
        return "back-end";
    case StopKind::Rack:
        return "rack";
    case StopKind::Entry:
        return "entry";
    }
    return "back-end";
}

Result<StopKind> parseStopKind(absl::string_view text)
{
    for (const StopKind kind : { StopKind::BackEnd, StopKind::Rack, StopKind::Entry }) {
        if (text == stopKindName(kind))
            return kind;
    }
    return Error { ErrorKind::InvalidRequest, absl::StrCat("'", text, "' is not a kind of planned stop."),
        "Use back-end, rack or entry." };
}

PlannedStopRegistry::PlannedStopRegistry(Parts parts)
    : m_parts(std::move(parts))
    , m_document("stops", m_parts.store, m_parts.peers, m_parts.watch, m_parts.clock)
{
    m_document.onAdopt([this](const std::string& body, uint64_t) { adopt(body); });
    m_parts.peers.handle(
        progressService, [this](absl::string_view, absl::string_view bytes) { handleProgress(bytes); });
}

void PlannedStopRegistry::plan(PlannedStop stop, ConfigDocument::ChangeCallback callback)
{
    auto checked = checkTarget(stop);
    if (!checked)
        return callback(checked.error());
    std::string changeId = stop.id;
    m_document.change(
        std::move(changeId),
        [stop = std::move(stop)](const std::string& body, uint64_t) -> Result<std::string> {
            Json stops = parseBody(body);
            stops[stop.id] = { { "kind", std::string(stopKindName(stop.kind)) }, { "target", stop.target } };
            return stops.dump();
        },
        std::move(callback));
}

void PlannedStopRegistry::cancel(std::string id, std::string changeId, ConfigDocument::ChangeCallback callback)
{
    m_document.change(
        std::move(changeId),
        [id = std::move(id)](const std::string& body, uint64_t) -> Result<std::string> {
            Json stops = parseBody(body);
            if (stops.erase(id) == 0)
                return Error { ErrorKind::InvalidRequest, absl::StrCat("There is no planned stop '", id, "'."),
                    "List the planned stops to see their ids." };
            return stops.dump();
        },
        std::move(callback));
}

/** Rejects a stop of an unknown back end or rack, which would have no owner to carry it out. The VM list lags, so the
 * error names the remedy. */
Result<void> PlannedStopRegistry::checkTarget(const PlannedStop& stop) const
{
    if (stop.kind == StopKind::Entry)
        return success();
    for (const BackEnd& backEnd : m_parts.backEnds.all()) {
        if (stop.target == (stop.kind == StopKind::Rack ? backEnd.rack : backEnd.name))
            return success();
    }
    return Error { ErrorKind::InvalidRequest,
        absl::StrCat("No ", stopKindName(stop.kind), " is named '", stop.target, "'."),
        "See the names with 'cicadactl status'; a new VM is listed after a few seconds." };
}

StopProgress PlannedStopRegistry::progress(const PlannedStop& stop) const
{
    if (const auto own = m_parts.remaining(stop))
        return { own };
    auto it = m_reportedByPeers.find(stop.id);
    if (it == m_reportedByPeers.end())
        return {};
    return { it->second };
}

bool PlannedStopRegistry::isPlanned(const BackEnd& backEnd) const
{
    for (const auto& [id, stop] : m_stops) {
        if (stop.kind == StopKind::BackEnd && stop.target == backEnd.name)
            return true;
        if (stop.kind == StopKind::Rack && !backEnd.rack.empty() && stop.target == backEnd.rack)
            return true;
    }
    return false;
}

void PlannedStopRegistry::adopt(const std::string& body)
{
    m_stops.clear();
    const Json document = parseBody(body);
    for (const auto& [id, item] : document.items()) {
        auto stop = readStop(id, item);
        if (stop)
            m_stops[id] = std::move(stop.value());
        else
            LOG(ERROR) << "planned stop " << id << " in the store is invalid and ignored: " << describe(stop.error());
    }
    for (const auto& [id, stop] : m_stops) {
        if (stop.kind != StopKind::Entry || stop.target != m_parts.settings.name || m_isStoppingSelf)
            continue;
        m_isStoppingSelf = true;
        m_parts.stopSelf();
    }
}

void PlannedStopRegistry::handleProgress(absl::string_view bytes)
{
    std::vector<std::pair<std::string, uint64_t>> reported;
    if (!Internal::unpackFields(bytes, progressService, reported))
        return;
    for (const auto& [id, remaining] : reported) {
        if (m_stops.contains(id))
            m_reportedByPeers[id] = remaining;
    }
}

void PlannedStopRegistry::tick(Instant now)
{
    m_document.tick(now);
    if (now < m_nextProgress)
        return;
    m_nextProgress = now + progressInterval;
    absl::erase_if(m_reportedByPeers, [this](const auto& item) { return !m_stops.contains(item.first); });
    std::vector<std::pair<std::string, uint64_t>> reported;
    for (const auto& [id, stop] : m_stops) {
        if (const auto remaining = m_parts.remaining(stop))
            reported.emplace_back(id, *remaining);
    }
    if (reported.empty())
        return;
    for (const std::string& peer : m_parts.peers.peerNames())
        m_parts.peers.send(peer, progressService, Internal::packFields(reported));
}

} // namespace cicada
