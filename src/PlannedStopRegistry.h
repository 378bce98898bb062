#pragma once

/** \file
 * The registry of planned stops of back ends, racks and entries. A planned stop is a graceful shutdown: its target gets
 * no new work, and work in flight there finishes. The entries report to each other how much work remains.
 */

#include "BackEnds.h"
#include "ConfigDocument.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include <functional>
#include <string>

namespace cicada {

/** The kind of target of a planned stop. */
enum class StopKind {
    BackEnd,
    Rack,
    Entry,
};

/** The kind as operators write it: "back-end", "rack" or "entry". */
absl::string_view stopKindName(StopKind);
Result<StopKind> parseStopKind(absl::string_view text);

/** One planned stop. */
struct PlannedStop {
    std::string id;
    StopKind kind = StopKind::BackEnd;
    /** The name of the back end, rack or entry. */
    std::string target;
};

/** The progress of a stop as last reported by the owner of its target. */
struct StopProgress {
    /** The number of runs or requests still in flight; nothing until an owner has reported. */
    std::optional<uint64_t> remaining;
};

/** All planned stops. Used on the decision thread only. */
class PlannedStopRegistry {
public:
    struct Parts {
        const Settings& settings;
        Store& store;
        PeerBus& peers;
        ConfigWatch& watch;
        const BackEnds& backEnds;
        const Clock& clock;
        /** The number of runs or requests in flight for a stop; nothing if this entry does not own the target. */
        std::function<std::optional<uint64_t>(const PlannedStop&)> remaining;
        /** Called once when this entry itself is to stop. */
        std::function<void()> stopSelf;
    };

    /** Everything in `parts` must outlive the registry. */
    explicit PlannedStopRegistry(Parts parts);

    /** Plans a stop; calls back with the registry's version once it is stored. Planning a stop twice has no effect. */
    void plan(PlannedStop stop, ConfigDocument::ChangeCallback callback);
    /** Cancels a stop; an error if there is no stop with that id. */
    void cancel(std::string id, std::string changeId, ConfigDocument::ChangeCallback callback);
    const absl::btree_map<std::string, PlannedStop>& all() const { return m_stops; }
    StopProgress progress(const PlannedStop& stop) const;
    /** Whether a stop is planned for the back end or its rack. */
    bool isPlanned(const BackEnd& backEnd) const;
    void tick(Instant now);

    static constexpr absl::Duration progressInterval = absl::Seconds(1);

private:
    void adopt(const std::string& body);
    Result<void> checkTarget(const PlannedStop& stop) const;
    void handleProgress(absl::string_view bytes);

    Parts m_parts;
    ConfigDocument m_document;
    absl::btree_map<std::string, PlannedStop> m_stops;
    absl::flat_hash_map<std::string, uint64_t> m_reportedByPeers;
    Instant m_nextProgress = absl::ZeroDuration();
    bool m_isStoppingSelf = false;
};

} // namespace cicada
