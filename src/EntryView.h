#pragma once

/** \file
 * What one entry has reported to the owner of jobs: its racks, how far it reported each partition's runs, and the ended
 * runs that it is to forget.
 */

#include "Clock.h"
#include "JobMessages.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <memory>
#include <string>
#include <vector>

namespace cicada {

using RackRecoveries = absl::flat_hash_map<std::string, RackRecovery>;

/** The reports of one entry about one partition. */
struct PartitionView {
    uint64_t epoch = 0;
    uint64_t version = 0;
    std::shared_ptr<const RackRecoveries> racks;
};

/** The reports of one entry. */
struct EntryView {
    uint64_t session = 0;
    uint64_t sequence = 0;
    /** Sessions of earlier incarnations; late messages from them are dropped. */
    absl::flat_hash_set<uint64_t> pastSessions;
    bool ownsRacks = false;
    Resources free;
    Instant lastReportAt;
    absl::flat_hash_map<uint32_t, PartitionView> partitions;
    std::vector<RunId> forget;

    /** Notes the report's session, order and capacity. Returns false if a newer report was received before. */
    bool accept(const JobReport& report, Instant now);
    /** Null if the entry has reported nothing about the partition. */
    const PartitionView* partition(uint32_t number) const;
    void addToForget(const RunId& id);
    void noteForgotten(const RunId& id);
};

} // namespace cicada
