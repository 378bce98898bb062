#pragma once

/** \file
 * The planned stops: which back ends, racks and entries operators want to stop. A stop is a graceful shutdown: its
 * target gets no new work, and what is in flight there finishes. The entries tell each other how much still runs.
 */

#include "BackEnds.h"
#include "ConfigDocument.h"

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include <functional>
#include <string>

namespace cicada {

/** What a planned stop is about. */
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

/** How far a stop has come, as its target's owner last reported. */
struct StopProgress {
    /** Runs or requests still in flight; nothing while no owner has told. */
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
        /** What this entry knows to be in flight for a stop; nothing when the target is not its own. */
        std::function<std::optional<uint64_t>(const PlannedStop&)> remaining;
        /** Called once when this entry itself is to stop. */
        std::function<void()> stopSelf;
    };

    /** Everything in `parts` must outlive the book. */
    explicit PlannedStopRegistry(Parts parts);

    /** Plans a stop; calls back with the book's version when it is stored. Planning one twice changes nothing. */
    void plan(PlannedStop stop, ConfigDocument::ChangeCallback callback);
    /** Cancels a stop; an error when there is none of that id. */
    void cancel(std::string id, std::string changeId, ConfigDocument::ChangeCallback callback);
    const absl::btree_map<std::string, PlannedStop>& all() const { return m_stops; }
    StopProgress progress(const PlannedStop& stop) const;
    /** Whether the back end, or its rack, is to stop. */
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
